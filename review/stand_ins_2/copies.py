"""A fleet whose quoters send second copies of some answers, some milliseconds late."""
import asyncio
import random
import time

from harness import *  # noqa: F403

GATEWAYS, QUOTERS, SECONDS = 3, 12, 40
RATE = 140 * GATEWAYS    # "up to 140 requests a second" at a gateway
SCALE = 3.5              # 140 over the site's 40 at a gateway: "Work, aims, deadlines and the plans' figures scale to match"
WAY_S = 0.0003           # one way between a gateway and a quoter; the site file has 0.14 to 0.34 ms
LATE_S = (0.004, 0.009)  # "some milliseconds late"
CLASSES = [("quote-read", 0.39), ("quote-create", 0.35), ("slot-hold", 0.26)]
DEADLINE_MS = {"quote-read": 4000, "quote-create": 5000, "slot-hold": 2000}


def work(words):
    """Seconds on an idle core of speed 1.5, drawn as in the site file: lognormal, exponential for slot-hold; scaled."""
    if fields_of(words[3])["c"] == "slot-hold":
        return random.expovariate(1 / 0.057) / 1.5 / SCALE
    return random.lognormvariate(-0.125, 0.5) * 0.145 / 1.5 / SCALE


class CopyingQuoter(Quoter):
    """Answers soundly, and behind some answers sends a second copy, some milliseconds late; it leaves the copy out if
    another request has come on the connection by then. What is sent takes WAY_S either way."""
    copies = kept_back = 0

    def take(self, connection, words):
        asyncio.get_running_loop().call_later(WAY_S, self.arrived, connection, words)

    def arrived(self, connection, words):
        connection.arrived = getattr(connection, "arrived", 0) + 1
        super().take(connection, words)

    def send(self, connection, reply):
        asyncio.get_running_loop().call_later(WAY_S, connection.write, reply)

    def answer(self, connection, words):
        reply = self.reply(words)
        self.send(connection, reply)
        if TROUBLE and self.has_copy(words):
            asyncio.get_running_loop().call_later(random.uniform(*LATE_S), self.copy, connection, words, reply,
                                                  connection.arrived)

    def has_copy(self, words):
        raise NotImplementedError

    def copy(self, connection, words, reply, arrived):
        if connection.arrived != arrived:
            CopyingQuoter.kept_back += 1
            return
        CopyingQuoter.copies += 1
        self.record("copy of the answer to %s by %s" % (words[2], self.name))
        self.send(connection, reply)


async def serve(record, gateways, quoter_class):
    """Plays the load; returns the quoters, the ends by kind, the requests by id, and the foreign answers."""
    discovery, counter = await Discovery(record).start(), await Counter(record).start()
    quoters = [await quoter_class("s-%d" % i, record, work).start() for i in range(QUOTERS)]
    for quoter in quoters:
        discovery.entries[quoter.name] = quoter.listed()
    ports = [free_port() for _ in range(GATEWAYS)]
    for i, port in enumerate(ports):
        config = site_config("n%d" % i, i, GATEWAYS, discovery, counter, port)
        for plan in config["settings"]["tariffs"]:
            plan.update(units_per_s=plan["units_per_s"] * SCALE, most_at_once=plan["most_at_once"] * SCALE)
        gateways.start("n%d" % i, config)
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
    at = time.monotonic()
    until = at + SECONDS
    while at < until:
        at += random.expovariate(RATE)
        await asyncio.sleep(max(0, at - time.monotonic()))
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
