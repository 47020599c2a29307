"""A long value breaks off, and requests that its client had sent behind it, and that have run, get no answer."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "stand_ins_2"))
from harness import *  # noqa: E402,F403

SECONDS, RATE = 30, 40       # of usual requests at each gateway
BATCH_EVERY_S = 1.0          # a client that sends several commands at once
LONG = 1024 * 1024           # bytes of a long value; up to 4 MiB are named
SHARE_RESET = 0.25           # of the long values: their connection is reset after a part of them


class LongValues(Quoter):
    """Answers what asks for a long value with one, in pieces; with trouble, some connections are reset amid it."""
    resets = 0

    def answer(self, connection, words):
        if len(words) < 5 or not words[4].startswith("long"):
            return super().answer(connection, words)
        value = self.value(words).encode()
        value += b"." * (LONG - len(value))
        asyncio.create_task(self.pieces(connection, words, value, TROUBLE and random.random() < SHARE_RESET))

    async def pieces(self, connection, words, value, is_reset):
        connection.write(b"*3\r\n$%d\r\n" % len(value))
        step = 64 * 1024
        for at in range(0, len(value), step):
            connection.write(value[at:at + step])
            await asyncio.sleep(0.03)
            if is_reset and at >= len(value) // 2:
                LongValues.resets += 1
                self.record("the connection of %s is reset amid its value by %s" % (words[2], self.name))
                return connection.transport.abort()
        connection.write(b"\r\n" + bulk("cost=1") + b"$-1\r\n")


class PipeliningClient(Peer):
    """Sends several commands at once on one connection, and reads all that comes at once."""

    def __init__(self, record, ids, done):
        super().__init__()
        self.record, self.ids, self.done = record, list(ids), done
        self.answers = {}
        self.closed_at = None

    def data_received(self, data):
        self.record("%d bytes for the client of %s" % (len(data), self.ids_text())) if len(data) < 200 else None
        super().data_received(data)

    def ids_text(self):
        return self.ids[0] if self.ids else "none"

    def message(self, message):
        id_ = self.ids.pop(0)
        self.answers[id_] = message
        self.record("answered %s: %s" % (id_, message[:60]))
        if not self.ids:
            self.transport.close()

    def connection_lost(self, problem):
        super().connection_lost(problem)
        self.closed_at = time.time()
        if self.ids:
            self.record("the gateway closed, unanswered: %s" % " ".join(self.ids))
        self.done(self)


async def play(record, gateways):
    discovery, counter = await Discovery(record).start(), await Counter(record).start()
    quoters = [await LongValues("s-%d" % i, record, lambda words: random.lognormvariate(-0.125, 0.5) * 0.06).start()
               for i in range(9)]
    for quoter in quoters:
        discovery.entries[quoter.name] = quoter.listed()
    ports = [free_port(), free_port()]
    for i, port in enumerate(ports):
        gateways.start("n%d" % i, site_config("n%d" % i, i, 2, discovery, counter, port))
    for port in ports:
        await gateways.ready(port)
    usual = {"served": 0, "other": 0}

    def on_end(id_, message):
        usual["served" if message and message.endswith(" for " + id_) else "other"] += 1

    fronts = [Front(port, record, on_end) for port in ports]
    accounts = ["%016x" % random.randrange(1, 2 ** 33) for _ in range(40)]
    clients = []

    def words(id_, name, body):
        pairs = "c=%s,t=industrial,d=%d,%sunits=1,spread=2,first=0" % (
            name, {"quote-create": 5000, "slot-hold": 2000}[name], "k=%s," % id_ if name == "quote-create" else "")
        return ["Q.DO", random.choice(accounts), id_, pairs, body]

    async def batch(port):
        asked = [(words("%016x" % random.getrandbits(64), "quote-create", "long drawing"))]
        for name in ("slot-hold", "quote-create", "slot-hold"):
            asked.append(words("%016x" % random.getrandbits(64), name, "part 17"))
        ids = [one[2] for one in asked]
        record("sent at once: %s" % " ".join("%s (%s)" % (one[2], one[3].split(",")[0]) for one in asked))
        _, client = await asyncio.get_running_loop().create_connection(
            lambda: PipeliningClient(record, ids, lambda one: None), "127.0.0.1", port)
        client.asked = {one[2]: one for one in asked}
        client.sent_at = time.time()
        clients.append(client)
        client.write(b"".join(pack(one) for one in asked))

    began = time.monotonic()
    next_batch = began + 1
    while time.monotonic() < began + SECONDS:
        await asyncio.sleep(random.expovariate(2 * RATE))
        id_ = "%016x" % random.getrandbits(64)
        await random.choice(fronts).ask(["Q.ASK", random.choice(accounts), id_,
                                         "c=quote-read,t=industrial,d=4000,units=1,spread=2,first=0"], id_)
        if time.monotonic() > next_batch:
            next_batch += BATCH_EVERY_S
            for port in ports:
                await batch(port)
    await asyncio.sleep(6)
    ran = {}
    for quoter in quoters:
        for at, one in quoter.runs:
            ran.setdefault(one[2], at)
    lost, excused, whole = [], 0, 0
    for client in clients:
        for place, (id_, one) in enumerate(client.asked.items()):
            if id_ in client.answers:
                whole += 1
            elif place == 0:
                excused += 1  # the value that broke off: the client can tell, and it has failed
            elif id_ not in ran or (client.closed_at or 0) > client.sent_at + int(fields_of(one[3])["d"]) / 1000:
                excused += 1  # the close may have crossed it unread; or its time was up
            else:
                lost.append((id_, fields_of(one[3])["c"], client.closed_at - ran[id_]))
    text = ("%d batches, %d long values broken off: %d requests of the batches answered, %d excused, %d lost although a quoter "
            "had them (%d of them slot-hold); usual ones: %s" % (len(clients), LongValues.resets, whole, excused, len(lost),
                                                                sum(name == "slot-hold" for _, name, _ in lost), usual))
    if whole < 2 * len(clients):
        return COULD_NOT_RUN, text
    if lost:
        return BROKEN, text + "; the first: %s, closed %.2f s after it began to run" % (lost[0][0], lost[0][2])
    return HELD, text


if __name__ == "__main__":
    run_case(HERE, play)
