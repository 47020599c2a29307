"""A connection's first request waits for a quoter that hangs, and the answers behind it come to over 1 MiB."""
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import asyncio

from standins import BROKEN, CLASSES, HELD, TROUBLE, Ask, Deployment, excuse, kind_of, play

GATEWAYS, QUOTERS = 2, 9
BURSTS = 5                 # on each gateway, one every EVERY_S
EVERY_S = 6.0
BATCHES = 3                # on one connection, one every BATCH_EVERY_S
COMMANDS = 16              # of a batch, sent at once
BATCH_EVERY_S = 0.150
VALUE = 60_000             # bytes; a value holds 64 KiB at most. A batch's come to less than 1 MiB.
WORK_S = {"quote-read": (0.035, 0.085), "quote-create": (0.035, 0.085), "slot-hold": (0.020, 0.040)}
HANG_S = 3.0               # a quoter hangs in the middle of its work
WARM_UP_S = 10.0
WARM_UP_PER_S = 60         # at each gateway


async def case(loop, record):
    random_source = random.Random(51)
    filler = bytes(random_source.choice(b"abcdefghijklmnop") for _ in range(VALUE))
    firsts = set()   # the first command of each burst
    long_ids = set()
    hung, arrived = [], set()

    def serve(connection, request):
        quoter = connection.quoter
        record.write("arrived", request.id, request.traffic_class, "at", quoter.name)
        arrived.add(request.id)
        if TROUBLE and request.id in firsts:
            firsts.discard(request.id)
            quoter.hang(HANG_S)
            hung.append(request.id)
            record.write("hangs", quoter.name, "for %.1f s" % HANG_S)
        loop.call_later(random_source.uniform(*WORK_S[request.traffic_class]), finish, connection, request)

    def finish(connection, request):
        quoter = connection.quoter
        if quoter.hangs():  # goes on where it was once it is back, if somebody still waits
            loop.call_later(quoter.hangs_until - time.monotonic() + 0.01, finish, connection, request)
            return
        if not connection.open:
            record.write("dropped", request.id, "at", quoter.name)
            return
        record.write("ran", request.id, "at", quoter.name)
        value = request.id.encode() + (b" " + filler[:VALUE - 17] if request.id in long_ids else b" ok")
        connection.answer(quoter.good(request, value))

    deployment = Deployment(loop, record, serve, GATEWAYS, QUOTERS)
    idle = [[] for _ in range(GATEWAYS)]
    lost, wrong, excused = [], [], []
    counts = {"served": 0, "refused": 0, "failed": 0}

    def answered(connection, ask):
        kind = kind_of(ask.answer)
        record.write(kind, ask.id, "after %.1f ms" % (1000 * (ask.answered_at - ask.sent_at)))
        if kind == "served" and ask.answer[:16] != ask.id.encode():
            wrong.append(ask)
        if connection.burst:
            counts[kind] += 1
        else:
            idle[connection.gateway].append(connection)

    def ended(connection, error, rest):
        if connection.left or not connection.waiting:
            if connection in idle[connection.gateway]:
                idle[connection.gateway].remove(connection)
            return
        record.write("CONNECTION-ENDED", "gateway", connection.gateway, "error", error, "bytes of an answer", rest,
                     "unanswered", len(connection.waiting))
        for ask in connection.waiting:
            why = excuse(ask, arrived)
            record.write(why or "LOST", ask.id, ask.traffic_class["name"], "on gateway", connection.gateway)
            (excused if why else lost).append(ask)

    async def connect(gateway, burst):
        connection = await deployment.connect(gateway, answered, ended)
        connection.gateway, connection.burst = gateway, burst
        return connection

    def make(name, customers):
        traffic_class = CLASSES[name]
        customer = customers.pop()
        return Ask(traffic_class, "industrial", customer, traffic_class["deadline"] // 1_000_000, GATEWAYS, 0,
                   random_source)

    async def ordinary(gateway, until):
        """The usual traffic: one request at a time on a connection."""
        customers = ["%016x" % random_source.getrandbits(33) for _ in range(120)]
        due = time.monotonic()
        while due < until:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            due += random_source.expovariate(WARM_UP_PER_S)
            name = random_source.choices(["quote-read", "quote-create", "slot-hold"], [39, 35, 26])[0]
            connection = idle[gateway].pop() if idle[gateway] else None
            if connection is None or not connection.open:
                connection = await connect(gateway, False)
            connection.send([make(name, [random_source.choice(customers)])])

    bursts = []

    async def burst(gateway):
        """A client that sends many commands at once, some more soon after, and reads all that comes at once."""
        connection = await connect(gateway, True)
        sent = []
        bursts.append((connection, sent))
        for batch in range(BATCHES):
            customers = ["%016x" % random_source.getrandbits(33) for _ in range(COMMANDS)]
            names = random_source.choices(["quote-read", "quote-create", "slot-hold"], [39, 35, 26], k=COMMANDS)
            if batch == 0:
                names[0] = "quote-read"
            asks = [make(name, customers) for name in names]
            long_ids.update(ask.id for ask in asks)
            if batch == 0:
                firsts.add(asks[0].id)
            if not connection.open:
                return
            record.write("batch", "gateway", gateway, "commands", len(asks), "first", asks[0].id)
            connection.send(asks)
            sent.extend(asks)
            await asyncio.sleep(BATCH_EVERY_S)

    try:
        await deployment.start()
        begin = time.monotonic()
        until = begin + WARM_UP_S + BURSTS * EVERY_S + 6
        usual = [asyncio.ensure_future(ordinary(g, until)) for g in range(GATEWAYS)]
        await asyncio.sleep(WARM_UP_S)
        for number in range(BURSTS):
            for gateway in range(GATEWAYS):
                await burst(gateway)
                await asyncio.sleep(EVERY_S / GATEWAYS - BATCHES * BATCH_EVERY_S)
        await asyncio.gather(*usual)
        await asyncio.sleep(6)  # beyond the longest deadline
        if any(gateway.ended() for gateway in deployment.gateways):
            raise RuntimeError("a gateway has ended")
        never = [ask for connection, asks in bursts if connection.open for ask in connection.waiting]
        for ask in never:
            record.write("NEVER", ask.id, ask.traffic_class["name"])
        for connection, _ in bursts:
            connection.close()
    finally:
        deployment.end()
    summary = ("bursts %d; of their %d requests served %d, refused %d, failed %d, lost at a close %d, excused at a close %d, never "
               "answered %d; lost of the usual traffic %d; quoters hung %d times"
               % (len(bursts), sum(len(sent) for _, sent in bursts), counts["served"], counts["refused"], counts["failed"],
                  sum(ask.id in long_ids for ask in lost), len(excused), len(never),
                  sum(ask.id not in long_ids for ask in lost), len(hung)))
    record.write("summary", summary)
    print(summary)
    if TROUBLE and not hung:
        raise RuntimeError("no quoter was met by a first command")
    return BROKEN if lost or never or wrong else HELD


sys.exit(play(os.path.dirname(os.path.abspath(__file__)), case))
