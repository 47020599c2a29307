"""Two gateways that start with unlike files under one version each act on their own, in full, for as long as they run."""
import asyncio
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "stand_ins_2"))
from harness import *  # noqa: E402,F403

ACCOUNT = "00000000b4d65521"
SMALL, SMALL_BURST, GOLD, GOLD_BURST = 1.0, 2, 100.0, 200
ASK_S, ASK_RATE = 12, 20


def operators(version, plan):
    return ('accord(version = %d)\n' % version +
            'small = plan("small", rate = per_second(%g), burst = %g)\n' % (SMALL, SMALL_BURST) +
            'gold = plan("gold", rate = per_second(%g), burst = %g)\n' % (GOLD, GOLD_BURST) +
            'account("%s", plan = %s)\n' % (ACCOUNT, plan))


def put(path, text):
    with open(path + ".new", "w") as file:
        file.write(text)
    os.rename(path + ".new", path)


async def play(record, gateways):
    discovery, counter = await Discovery(record).start(), await Counter(record).start()
    quoters = [await Quoter("s-%d" % i, record, lambda words: 0.05).start() for i in range(4)]
    for quoter in quoters:
        discovery.entries[quoter.name] = quoter.listed()
    ports, peers = [free_port(), free_port()], [free_port(socket.SOCK_DGRAM) for _ in range(2)]
    mgmt = [free_port(), free_port()]
    paths = [os.path.join(gateways.folder, "operators-%d.star" % i) for i in range(2)]

    def start(i):
        config = site_config("n%d" % i, i, 2, discovery, counter, ports[i], peer_listen="127.0.0.1:%d" % peers[i],
                             peers=["127.0.0.1:%d" % peer for peer in peers])
        config["settings"]["limits"]["peers"] = True
        return gateways.start("n%d" % i, config, "--operators " + paths[i], mgmt=mgmt[i])

    async def accord(i):
        reader, writer = await asyncio.open_connection("127.0.0.1", mgmt[i])
        writer.write(b"GET /v1/accord HTTP/1.1\r\nHost: x\r\n\r\n")
        text = await asyncio.wait_for(reader.read(), 2)
        writer.close()
        return json.loads(text.split(b"\r\n\r\n", 1)[1])

    put(paths[0], operators(8, "small"))
    put(paths[1], operators(8, "gold" if TROUBLE else "small"))
    for i in range(2):
        start(i)
    for port in ports:
        await gateways.ready(port)
    await asyncio.sleep(6)
    told = [await accord(i) for i in range(2)]
    record("they say: %s" % json.dumps(told))
    ends = [{"served": 0, "refused": 0, "other": 0} for _ in range(2)]

    def front(i):
        def on_end(id_, message):
            kind = "other" if message is None else "refused" if message.startswith("-BUSY") else \
                "served" if message.endswith(" for " + id_) else "other"
            ends[i][kind] += 1
            record("answered %s by n%d: %s" % (id_, i, message))
        return Front(ports[i], record, on_end)

    fronts = [front(0), front(1)]
    began = at = time.time()
    while at < began + ASK_S:
        await asyncio.sleep(max(0, at - time.time()))
        for i in range(2):
            id_ = "%016x" % random.getrandbits(64)
            record("sent %s to n%d" % (id_, i))
            await fronts[i].ask(["Q.ASK", ACCOUNT, id_, "c=quote-read,t=basico,d=4000,units=1,spread=2,first=0"], id_)
        at += 1 / ASK_RATE
    await asyncio.sleep(1)
    allowed = SMALL_BURST + SMALL * (ASK_S + 1)
    text = "fenced: %s, in force: %s; under the smaller plan %d units may run in %d s: n0 %s, n1 %s" % (
        [one["fenced"] for one in told], [one["in_force"]["version"] for one in told], allowed, ASK_S, ends[0], ends[1])
    # A quota is held within bounds, not to the unit: several times as much is another plan.
    return BROKEN if ends[1]["served"] > 3 * allowed else HELD, text


if __name__ == "__main__":
    run_case(HERE, play, "unlike_files_at_the_start.txt")
