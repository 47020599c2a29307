"""A quoter drains while the gateway's connection for preparing a form is still coming up: the call goes to it all the same."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "stand_ins_2"))
from harness import *  # noqa: E402,F403

GRACE_S = 0.5 + 0.05  # stop_sending_within of the settings, and 50 ms for every limit on sockets
TOLD_AFTER_S = 0.1    # the drain, behind the moment in which the forms are prepared elsewhere
UP_AGAIN_AFTER_S = 0.8


class LateQuoter(Quoter):
    """While it is late, connections to it do not come up: the kernel's queue of the listening socket is full, and drops
    their first packet. The client's kernel sends it again a second later."""

    async def start(self):
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(0)
        self.listener.setblocking(False)
        self.port = self.listener.getsockname()[1]
        self.fillers = []
        self.accepting = asyncio.create_task(self.accept())
        return self

    async def accept(self):
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self.listener)
            await loop.connect_accepted_socket(lambda: QuoterConnection(self), sock)

    async def late(self):
        self.accepting.cancel()
        await asyncio.sleep(0.05)
        for _ in range(4):  # so many are more than the queue holds
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self.fillers.append(filler)
        self.record("connections to %s come up late from now on" % self.name)

    async def in_time(self):
        for filler in self.fillers:
            filler.close()
        self.accepting = asyncio.create_task(self.accept())
        self.record("connections to %s come up at once again" % self.name)


async def play(record, gateways):
    discovery, counter = await Discovery(record).start(), await Counter(record).start()
    prepared = asyncio.Event()
    first = []

    class Noticing(Quoter):
        def take(self, connection, words):
            if len(words) > 4 and words[4].startswith("prepare ") and not first:
                first.append(time.time())
                prepared.set()
            super().take(connection, words)

    quoters = [await Noticing("s-%d" % i, record, lambda words: 0.06).start() for i in range(3)]
    slow = await LateQuoter("s-3", record, lambda words: 0.06).start()
    for quoter in quoters + [slow]:
        discovery.entries[quoter.name] = quoter.listed()
    ports, peers = [free_port(), free_port()], [free_port(socket.SOCK_DGRAM) for _ in range(2)]
    path = os.path.join(gateways.folder, "operators.star")
    with open(path, "w") as file:
        file.write('accord(1)\nforms()\nschema("prices", 7)\n')
    for i, port in enumerate(ports):
        config = site_config("n%d" % i, i, 2, discovery, counter, port, peer_listen="127.0.0.1:%d" % peers[i],
                             peers=["127.0.0.1:%d" % peer for peer in peers])
        config["settings"]["limits"]["peers"] = True
        gateways.start("n%d" % i, config, "--operators " + path)
    for port in ports:
        await gateways.ready(port)
    answers = {}
    fronts = [Front(port, record, lambda id_, message: (answers.__setitem__(id_, message),
                                                        record("answered %s: %s" % (id_, message)))) for port in ports]

    def words(id_, body):
        return ["Q.DO", "00000000b4d65521", id_, "c=quote-create,t=industrial,d=5000,k=%s,units=1,spread=2,first=0" % id_,
                body]

    await asyncio.sleep(5)  # the gateways find each other, and agree on the file
    if TROUBLE:
        await slow.late()
    for attempt in range(5):  # a fenced gateway refuses
        id_ = "%016x" % random.getrandbits(64)
        record("sent %s: defines the form 'bom'" % id_)
        await fronts[0].ask(words(id_, "form bom define prices\nfor all parts: price\n"), id_)
        while id_ not in answers:
            await asyncio.sleep(0.005)
        if answers[id_] is not None and answers[id_].startswith("form bom"):
            break
        await asyncio.sleep(1)
    else:
        raise CouldNotRun("the form was not taken: %s" % answers)
    await asyncio.wait_for(prepared.wait(), 10)
    await asyncio.sleep(max(0, first[0] + TOLD_AFTER_S - time.time()))
    await discovery.tell(slow.listed("terminating"))
    await asyncio.sleep(0.05)  # until it is written to both watches
    told = time.time()
    if TROUBLE:
        await asyncio.sleep(max(0, first[0] + UP_AGAIN_AFTER_S - time.time()))
        await slow.in_time()
    await asyncio.sleep(8)
    late = [(at - told, words) for at, words in slow.runs if at > told + GRACE_S]
    text = "%d commands at the draining quoter, %d of them later than 0.55 s behind the drain" % (
        len(slow.runs), len(late))
    if not TROUBLE and not slow.runs:
        return COULD_NOT_RUN, text + ": none was prepared there"
    if late:
        return BROKEN, text + "; the first %.2f s behind it: %s" % (late[0][0], late[0][1][4][:60].replace("\n", " | "))
    return HELD, text


if __name__ == "__main__":
    run_case(HERE, play, "prepare_on_a_draining_quoter.txt")
