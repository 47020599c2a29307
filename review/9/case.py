"""An upgrade while discovery is down: the new process does not know of a drain that the old one has been told of."""
import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "stand_ins_2"))
from harness import *  # noqa: E402,F403

GRACE_S = 0.5 + 0.05     # stop_sending_within of the settings, and 50 ms for every limit on sockets
BINDS_AFTER_YES_S = 2.0  # "News of discovery binds from 2 s after the yes"
DOWN_S = 8.0             # "discovery is down for 8 s"
RATE = 60


async def play(record, gateways):
    discovery, counter = await Discovery(record).start(), await Counter(record).start()
    quoters = [await Quoter("s-%d" % i, record, lambda words: random.lognormvariate(-0.125, 0.5) * 0.09).start()
               for i in range(9)]
    for quoter in quoters:
        discovery.entries[quoter.name] = quoter.listed()
    drained = quoters[3]
    ports, mgmt = [free_port(), free_port()], free_port()
    configs = [site_config("n%d" % i, i, 2, discovery, counter, port, known=discovery.whole())
               for i, port in enumerate(ports)]
    old = gateways.start("n0", configs[0], mgmt=mgmt)
    gateways.start("n1", configs[1])
    for port in ports:
        await gateways.ready(port)
    ends = {"served": 0, "busy": 0, "failed": 0, "closed": 0}

    def on_end(id_, message):
        kind = "closed" if message is None else "busy" if message.startswith("-BUSY") else \
            "failed" if message.startswith("-") else "served"
        ends[kind] += 1
        record("answered %s %s: %s" % (id_, kind, message))

    fronts = [Front(port, record, on_end) for port in ports]
    accounts = ["%016x" % random.randrange(1, 2 ** 33) for _ in range(8)]
    by_gateway = {}

    async def load():
        while True:
            await asyncio.sleep(random.expovariate(RATE))
            id_ = "%016x" % random.getrandbits(64)
            which = random.randrange(2)
            by_gateway[id_] = which
            record("sent %s to n%d" % (id_, which))
            try:
                await fronts[which].ask(["Q.ASK", random.choice(accounts), id_,
                                         "c=quote-read,t=industrial,d=4000,units=1,spread=2,first=0"], id_)
            except OSError as problem:
                record("no connection for %s: %s" % (id_, problem))

    task = asyncio.create_task(load())
    await asyncio.sleep(4)
    await discovery.tell(drained.listed("terminating"))
    told = time.time()
    await asyncio.sleep(1.5)
    if TROUBLE:
        discovery.down = True
        down_at = time.time()
        record("discovery is down")
    second_mgmt, upgrade = free_port(), time.time()
    gateways.start("n0", dict(configs[0], seed="%016x" % random.getrandbits(64)), mgmt=second_mgmt)
    until = time.time() + 6
    while await gateways.admin(second_mgmt) != 200:
        if time.time() > until:
            raise CouldNotRun("the new process was not ready within 6 s")
        await asyncio.sleep(0.05)
    yes = time.time()
    record("the new process says yes; SIGTERM to the old one")
    os.kill(old.pid, signal.SIGTERM)
    if TROUBLE:
        await asyncio.sleep(max(0, down_at + DOWN_S - time.time()))
        discovery.down = False
        record("discovery is back")
        back = time.time()
    else:
        await asyncio.sleep(DOWN_S)
        back = time.time()
    await asyncio.sleep(1)
    task.cancel()
    await asyncio.sleep(4.5)
    between = [words[2] for at, words in drained.runs if told + GRACE_S < at < upgrade]
    late = [(at, words[2]) for at, words in drained.runs if at > yes + BINDS_AFTER_YES_S]
    text = ("%d requests: %s; at the draining quoter %d between the drain's grace and the upgrade, and %d from 2 s behind "
            "the yes on" % (len(by_gateway), ends, len(between), len(late)))
    if between or ends["served"] < len(by_gateway) / 2:
        return COULD_NOT_RUN, text
    if late:
        return BROKEN, text + "; by n0: %d, by n1: %d, the last %.1f s behind the news" % (
            sum(by_gateway[i] == 0 for _, i in late), sum(by_gateway[i] == 1 for _, i in late), late[-1][0] - told)
    return HELD, text


if __name__ == "__main__":
    run_case(HERE, play)
