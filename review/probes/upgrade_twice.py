"""Not a case: two upgrades follow each other while an answer of the first process is lost; does a ban hold over the next?

    timeout 118 python3 review/probes/upgrade_twice.py; echo $?    # 10: it did not. TROUBLE=0 before it: no answer is lost

While the first old process is still ending, a third process is started, which no page names.
"""
import json
import os
import random
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import asyncio

from standins import BROKEN, CLASSES, HELD, TROUBLE, Ask, Deployment, free_ports, kind_of, play

GATEWAYS, QUOTERS = 2, 9
PER_S = 60                 # requests a second at the gateway that is upgraded
SECOND_AFTER_S = 0.8       # the second upgrade begins so long after the first one's yes
KILL_AFTER_S = 3.7         # SIGKILL, behind SIGTERM: the longest deadline (3 s at most) and 0.7 s
GRACE_S = 0.5 + 0.05       # of the rule on drains
BAN_S = 8.0


async def case(loop, record):
    random_source = random.Random(51)
    stuck = {"id": None}
    ban = {"quoter": None, "since": None}
    late = []
    first_byte = {}

    def serve(connection, request):
        quoter = connection.quoter
        now = time.monotonic()
        record.write("arrived", request.id, request.traffic_class, "at", quoter.name)
        if ban["since"] is not None and quoter.name == ban["quoter"] and now > ban["since"] + GRACE_S:
            late.append(request.id)
            record.write("AFTER-BAN", request.id, "at", quoter.name, "%.2f s after the yes" % (now - ban["since"]))
        if request.id == stuck["id"]:
            record.write("hangs", request.id, "at", quoter.name)
            return  # runs; its answer never comes
        loop.call_later(random_source.uniform(0.02, 0.05), finish, connection, request)

    def finish(connection, request):
        if connection.open:
            record.write("ran", request.id, "at", connection.quoter.name)
            connection.answer(connection.quoter.good(request, request.id.encode() + b" ok"))

    deployment = Deployment(loop, record, serve, GATEWAYS, QUOTERS)
    idle = []
    counts = {"served": 0, "refused": 0, "failed": 0}
    ends = {"unanswered": 0}

    def answered(connection, ask):
        counts[kind_of(ask.answer)] += 1
        record.write(kind_of(ask.answer), ask.id, "after %.1f ms" % (1000 * (ask.answered_at - ask.sent_at)))
        idle.append(connection)

    def ended(connection, error, rest):
        if connection in idle:
            idle.remove(connection)
        for ask in connection.waiting:
            ends["unanswered"] += 1
            record.write("ended-unanswered", ask.id, error)

    customers = ["%016x" % random_source.getrandbits(33) for _ in range(120)]

    def make(name):
        traffic_class = CLASSES[name]
        return Ask(traffic_class, "industrial", random_source.choice(customers), traffic_class["deadline"] // 1_000_000,
                   GATEWAYS, 0, random_source)

    async def send(ask):
        connection = None
        while idle and (connection is None or not connection.open):
            connection = idle.pop()
        if connection is None or not connection.open:
            connection = await deployment.connect(0, answered, ended)
        connection.send([ask])

    running = [True]

    async def usual():
        due = time.monotonic()
        while running[0]:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            due += random_source.expovariate(PER_S)
            name = random_source.choices(["quote-read", "quote-create", "slot-hold"], [39, 35, 26])[0]
            try:
                await send(make(name))
            except OSError:
                record.write("no-connection")

    async def manage(address, method, path):
        host, port = address.rsplit(":", 1)
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
            writer.write(("%s %s HTTP/1.1\r\nHost: gateway\r\n\r\n" % (method, path)).encode())
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return line.split(b" ")[1:2] == [b"200"]
        except (OSError, asyncio.TimeoutError):
            return False

    gateway = deployment.gateways

    async def beside():
        """`run` a second time: the same address, another second address, the same TMPDIR. Returns the process before."""
        one = gateway[0]
        before = one.process
        one.config["mgmt"] = "127.0.0.1:%d" % free_ports(1)[0]
        one.config["seed"] = "%016x" % random_source.getrandbits(64)
        one.start()
        until = time.monotonic() + 6
        while not await manage(one.config["mgmt"], "GET", "/v1/readyz"):
            if one.ended() or time.monotonic() > until:
                raise RuntimeError("the new process does not say yes: " + one.log())
            await asyncio.sleep(0.01)
        record.write("yes", "of pid", one.process.pid)
        return before

    async def end(process):
        """SIGTERM at the yes, SIGKILL after the time that the page gives."""
        record.write("sigterm", "pid", process.pid)
        process.send_signal(signal.SIGTERM)
        until = time.monotonic() + KILL_AFTER_S
        while process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.01)
        if process.poll() is None:
            process.kill()
            process.wait()
            record.write("sigkill", "pid", process.pid)
        record.write("ended", "pid", process.pid, "code", process.returncode)

    try:
        await deployment.start()
        load = asyncio.ensure_future(usual())
        await asyncio.sleep(3)
        # The first upgrade. An answer to a request that the old process has taken is lost.
        one = make("slot-hold")
        if TROUBLE:
            stuck["id"] = one.id
        await send(one)
        first = await beside()
        ending = [asyncio.ensure_future(end(first))]
        # The second one, soon after.
        await asyncio.sleep(SECOND_AFTER_S)
        second = await beside()
        ending.append(asyncio.ensure_future(end(second)))
        await asyncio.gather(*ending)
        await asyncio.sleep(2)
        # A quoter is taken out, and a third upgrade comes when nothing of the first two is left.
        ban["quoter"] = deployment.quoters[4].name
        if not await manage(gateway[0].config["mgmt"], "PUT", "/v1/quoters/%s/suspend" % ban["quoter"]):
            raise RuntimeError("the ban got no yes")
        ban["since"] = time.monotonic()
        record.write("banned", ban["quoter"])
        await asyncio.sleep(1)
        before_upgrade = len(late)
        third = await beside()
        ending = asyncio.ensure_future(end(third))
        await asyncio.sleep(BAN_S)
        await ending
        running[0] = False
        await load
        await asyncio.sleep(3)
        if gateway[0].ended():
            raise RuntimeError("the gateway has ended")
    finally:
        running[0] = False
        deployment.end()
    summary = ("served %d, refused %d, failed %d, without an answer %d; requests to the banned quoter beyond the grace: %d "
               "before the upgrade, %d after it" % (counts["served"], counts["refused"], counts["failed"],
                                                    ends["unanswered"], before_upgrade, len(late) - before_upgrade))
    record.write("summary", summary)
    print(summary)
    return BROKEN if late else HELD


sys.exit(play(os.path.dirname(os.path.abspath(__file__)), case, "record-upgrade-twice.txt"))
