"""Forms defined at once near the bound push out forms that were taken before."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "stand_ins_2"))
from harness import *  # noqa: E402,F403

BOUND = 256  # forms
EARLIER = 250
LATER = 12


class Preparing(Quoter):
    """Prepares what it is sent, and answers a call under a form that it has prepared."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.prepared = set()

    def reply(self, words):
        head = words[4].split("\n", 1)[0].split(" ") if len(words) > 4 else [""]
        if head[0] == "prepare":
            self.prepared.add((head[1], head[2]))
        elif head[0] == "form" and (head[1], head[2]) not in self.prepared:
            return ("-ERR form %s %s\r\n" % (head[1], head[2])).encode()
        return super().reply(words)


async def play(record, gateways):
    discovery, counter = await Discovery(record).start(), await Counter(record).start()
    quoters = [await Preparing("s-%d" % i, record, lambda words: 0.01).start() for i in range(3)]
    for quoter in quoters:
        discovery.entries[quoter.name] = quoter.listed()
    ports, peers = [free_port(), free_port()], [free_port(socket.SOCK_DGRAM) for _ in range(2)]
    path = os.path.join(gateways.folder, "operators.star")
    with open(path, "w") as file:
        file.write('accord(1)\nforms(pace = per_second(100), at_once = 8)\nschema("prices", 7)\n')
    for i, port in enumerate(ports):
        config = site_config("n%d" % i, i, 2, discovery, counter, port, peer_listen="127.0.0.1:%d" % peers[i],
                             peers=["127.0.0.1:%d" % peer for peer in peers])
        config["settings"]["limits"]["peers"] = True
        gateways.start("n%d" % i, config, "--operators " + path)
    for port in ports:
        await gateways.ready(port)
    answers = {}

    def on_end(id_, message):
        answers[id_] = message
        record("answered %s: %s" % (id_, message))

    fronts = [Front(port, record, on_end) for port in ports]
    await asyncio.sleep(4)  # the gateways find each other

    async def ask_all(bodies, front, within=7.0):
        """The answers by name; all are asked at once, by an account each."""
        ids = {}
        for name, body in bodies.items():
            ids[name] = id_ = "%016x" % random.getrandbits(64)
            record("sent %s: %s" % (id_, body.split("\n")[0]))
            await front.ask(["Q.DO", "%016x" % random.randrange(1, 2 ** 33), id_,
                             "c=quote-create,t=industrial,d=5000,k=%s,units=1,spread=2,first=0" % id_, body], id_)
        until = time.time() + within
        while time.time() < until and any(id_ not in answers for id_ in ids.values()):
            await asyncio.sleep(0.02)
        return {name: answers.get(id_, "nothing") for name, id_ in ids.items()}

    def define(name):
        return "form %s define prices\nprice of %s\n" % (name, name)

    taken = set()
    until = time.time() + 60
    wanted = ["f%03d" % i for i in range(EARLIER)]
    while len(taken) < EARLIER and time.time() < until:
        part = [name for name in wanted if name not in taken][:40]
        told = await ask_all({name: define(name) for name in part}, fronts[0])
        taken |= {name for name, answer in told.items() if answer and answer.startswith("form " + name + " ")}
    if len(taken) < EARLIER:
        raise CouldNotRun("only %d forms were taken in time" % len(taken))
    names = ["a%02d" % i for i in range(LATER)]
    if TROUBLE:
        told = await ask_all({name: define(name) for name in names}, fronts[0])
    else:
        told = {}
        for name in names:
            told.update(await ask_all({name: define(name)}, fronts[0]))
    later = sorted(name for name, answer in told.items() if answer and answer.startswith("form " + name + " "))
    refused = sorted(name for name, answer in told.items() if answer and answer.startswith("-BUSY"))
    await asyncio.sleep(3)
    last = sorted(taken)[-20:]
    missing = []
    for name in last:
        failed = []
        for front in fronts:
            answer = None
            for _ in range(3):  # what is refused may be asked again
                answer = (await ask_all({name: "form %s\npart 17\n" % name}, front))[name]
                if answer and not answer.startswith("-BUSY"):
                    break
                await asyncio.sleep(0.5)
            failed.append(answer == "-ERR failed")
        if all(failed):
            missing.append(name)
    text = "%d forms taken, then %d of %d more (%d refused); of the last 20 of the first ones %d fail at both gateways: %s" % (
        len(taken), len(later), LATER, len(refused), len(missing), " ".join(missing))
    return BROKEN if missing else HELD, text


if __name__ == "__main__":
    run_case(HERE, play, "forms_at_the_bound.txt")
