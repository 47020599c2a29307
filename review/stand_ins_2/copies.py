"""A fleet in which the way from a quoter to the gateway delays second copies of answers. Shared by two cases."""
import asyncio
import random
import time

from harness import *  # noqa: F403

GATEWAYS, QUOTERS, SECONDS, RATE = 2, 9, 60, 100
LATE_S = (0.006, 0.012)  # "some milliseconds late"
CLASSES = [("quote-read", 0.39), ("quote-create", 0.35), ("slot-hold", 0.26)]
DEADLINE_MS = {"quote-read": 4000, "quote-create": 5000, "slot-hold": 2000}


def work(words):
    """Seconds on an idle core of speed 1.5, as the site file draws them: lognormal, exponential for slot-hold."""
    if fields_of(words[3])["c"] == "slot-hold":
        return random.expovariate(1 / 0.057) / 1.5
    return random.lognormvariate(-0.125, 0.5) * 0.145 / 1.5


class CopyingQuoter(Quoter):
    """Answers soundly. Behind some answers, when nothing else waits on the connection, it writes a second copy, which the
    way to the gateway delays. The connection stays a stream: what is written later arrives behind the copy."""
    copies = 0

    def take(self, connection, words):
        connection.pending = getattr(connection, "pending", 0) + 1
        self.work_on(connection, words)

    def work_on(self, connection, words):
        super().take(connection, words)

    def answer(self, connection, words):
        self.write(connection, words, self.reply(words), self.has_copy(words))

    def has_copy(self, words):
        raise NotImplementedError

    def write(self, connection, words, reply, has_copy):
        connection.pending -= 1
        loop = asyncio.get_running_loop()
        now = loop.time()
        at = max(now, getattr(connection, "stream_free_at", 0.0))
        loop.call_at(at, connection.write, reply) if at > now else connection.write(reply)
        if TROUBLE and connection.pending == 0 and has_copy:
            late = random.uniform(*LATE_S)
            connection.stream_free_at = at + late
            CopyingQuoter.copies += 1
            loop.call_at(at + late, self.copy, connection, words, reply, late)

    def copy(self, connection, words, reply, late):
        self.record("copy of the answer to %s by %s, %.1f ms behind it" % (words[2], self.name, late * 1000))
        connection.write(reply)


async def serve(record, gateways, quoter_class):
    """Plays the load; returns the quoters, the ends by kind, the requests by id, and the foreign answers."""
    discovery, counter = await Discovery(record).start(), await Counter(record).start()
    quoters = [await quoter_class("s-%d" % i, record, work).start() for i in range(QUOTERS)]
    for quoter in quoters:
        discovery.entries[quoter.name] = quoter.listed()
    ports = [free_port() for _ in range(GATEWAYS)]
    for i, port in enumerate(ports):
        gateways.start("n%d" % i, site_config("n%d" % i, i, GATEWAYS, discovery, counter, port))
    for port in ports:
        await gateways.ready(port)
    ends = {"served": 0, "busy": 0, "failed": 0, "foreign": 0, "closed": 0}
    foreign, sent, end_of = [], {}, {}

    def on_end(id_, message):
        if message is None:
            kind = "closed"
        elif message.startswith("-BUSY"):
            kind = "busy"
        elif message.startswith(("-", "+")):
            kind = "failed"
        else:
            kind = "served" if message.endswith(" for " + id_) else "foreign"
        ends[kind] += 1
        end_of[id_] = kind
        record("answered %s %s: %s" % (id_, kind, message))
        if kind == "foreign":
            foreign.append((id_, message))

    fronts = [Front(port, record, on_end) for port in ports]
    accounts = ["%016x" % random.randrange(1, 2 ** 33) for _ in range(12)]
    until = time.monotonic() + SECONDS
    while time.monotonic() < until:
        await asyncio.sleep(random.expovariate(RATE))
        id_ = "%016x" % random.getrandbits(64)
        name = random.choices([c for c, _ in CLASSES], [s for _, s in CLASSES])[0]
        pairs = "c=%s,t=industrial,d=%d,%sunits=1,spread=%d,first=0" % (
            name, DEADLINE_MS[name], "k=%016x," % random.getrandbits(64) if name == "quote-create" else "", GATEWAYS)
        words = ["Q.ASK" if name == "quote-read" else "Q.DO", random.choice(accounts), id_, pairs]
        words += [] if name == "quote-read" else ["part 17, 40 pieces"]
        sent[id_] = name
        record("sent %s %s" % (id_, pairs))
        await random.choice(fronts).ask(words, id_)
        if gateways.ended():
            raise CouldNotRun("a gateway ended: %s" % gateways.ended())
    await asyncio.sleep(5.5)
    if ends["served"] < len(sent) / 2:
        raise CouldNotRun("too few were served: %s" % ends)
    return quoters, ends, sent, foreign, end_of
