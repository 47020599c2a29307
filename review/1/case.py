"""A second answer comes some milliseconds behind the first: does it reach another request's client?"""
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import asyncio

from standins import BROKEN, CLASSES, HELD, TROUBLE, Ask, Deployment, kind_of, play, scale_classes

SECONDS = 75
GATEWAYS, QUOTERS = 2, 9
PER_GATEWAY = 140          # requests a second, by LATER.md; work, aims, deadlines and plans scale to match
SCALE = 1 / 3
WIRE_S = 0.0003            # one way between a gateway and a quoter: 0.14 to 0.34 ms in the site's file
SPOILT = 0.10              # of the good answers bring a second copy
LATE_S = (0.002, 0.008)    # behind the first
MIX = [("quote-read", 0.39, 0.030), ("quote-create", 0.35, 0.030), ("slot-hold", 0.26, 0.015)]


async def case(loop, record):
    random_source = random.Random(51)
    copies = {"sent": 0, "kept": 0}
    scale_classes(SCALE)

    def serve(connection, request):
        if connection.quoter.hangs():
            return
        work = dict((name, work) for name, _, work in MIX)[request.traffic_class]
        record.write("arrived", request.id, request.traffic_class, "at", connection.quoter.name)
        loop.call_later(work * random_source.uniform(0.6, 1.4), finish, connection, request)

    def finish(connection, request):
        if not connection.open:
            record.write("dropped", request.id, "at", connection.quoter.name)
            return
        value = ("%s by %s" % (request.id, connection.quoter.name)).encode()
        answer = connection.quoter.good(request, value)
        record.write("ran", request.id, "at", connection.quoter.name)
        connection.answer(answer)
        if TROUBLE and random_source.random() < SPOILT:
            loop.call_later(random_source.uniform(*LATE_S), second, connection, request, answer, connection.arrived)

    def second(connection, request, answer, arrived):
        # Only while nothing else waits on the connection: not a byte of another request has come here.
        if not connection.open or connection.arrived != arrived:
            copies["kept"] += 1
            return
        copies["sent"] += 1
        record.write("second-copy", request.id, "at", connection.quoter.name)
        connection.write(answer)

    deployment = Deployment(loop, record, serve, GATEWAYS, QUOTERS, WIRE_S, rates=1 / SCALE)
    counts = {"served": 0, "refused": 0, "failed": 0}
    foreign = []
    idle = [[] for _ in range(GATEWAYS)]

    def answered(connection, ask):
        kind = kind_of(ask.answer)
        counts[kind] += 1
        record.write(kind, ask.id, "after %.1f ms" % (1000 * (ask.answered_at - ask.sent_at)))
        if kind == "served" and ask.answer.split(b" ")[0] != ask.id.encode():
            foreign.append(ask)
            record.write("FOREIGN", ask.id, ask.traffic_class["name"], "got", ask.answer.decode("latin-1"))
        idle[connection.gateway].append(connection)

    def ended(connection, error, rest):
        if connection in idle[connection.gateway]:
            idle[connection.gateway].remove(connection)

    async def ask(gateway, one):
        connection = idle[gateway].pop() if idle[gateway] else None
        if connection is None or not connection.open:
            connection = await deployment.connect(gateway, answered, ended)
            connection.gateway = gateway
        connection.send([one])

    try:
        await deployment.start()
        customers = [("%016x" % random_source.getrandbits(33), "basico" if i % 2 else "industrial")
                     for i in range(240)]
        begin = time.monotonic()
        due = [begin] * GATEWAYS
        while time.monotonic() - begin < SECONDS:
            now = time.monotonic()
            for gateway in range(GATEWAYS):
                while due[gateway] <= now:
                    due[gateway] += random_source.expovariate(PER_GATEWAY)
                    name = random_source.choices([m[0] for m in MIX], [m[1] for m in MIX])[0]
                    customer, plan = random_source.choice(customers)
                    traffic_class = CLASSES[name]
                    await ask(gateway, Ask(traffic_class, plan, customer, traffic_class["deadline"] // 1_000_000,
                                           GATEWAYS, 0, random_source))
            await asyncio.sleep(max(0.0, min(due) - time.monotonic()))
        await asyncio.sleep(3)
        if any(gateway.ended() for gateway in deployment.gateways):
            raise RuntimeError("a gateway has ended")
    finally:
        deployment.end()
    summary = "served %(served)d, refused %(refused)d, failed %(failed)d" % counts
    summary += "; second copies %d (%d kept back); foreign values %d" % (copies["sent"], copies["kept"], len(foreign))
    record.write("summary", summary)
    print(summary)
    if counts["served"] < 1000:
        raise RuntimeError("too little was served")
    return BROKEN if foreign else HELD


sys.exit(play(os.path.dirname(os.path.abspath(__file__)), case))
