"""Not a case: a registry's drain that comes right behind a long message, `registry("etcd", ...)` in the operators' file.

    timeout 118 python3 review/probes/registry_drain.py; echo $?    # 10: late. TROUBLE=0 before it: the drain comes 1 s later

The registry speaks etcd's JSON gateway. All endpoints change in one transaction (a message over 32 KiB), then one weight,
then one endpoint is put to `terminating`; the three messages are written at once.
"""
import base64
import json
import os
import random
import re
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import asyncio

from standins import BROKEN, CLASSES, HELD, TROUBLE, Ask, Deployment, kind_of, play

PER_S = 60
QUIET_S = 5.0
SECONDS = 32.0
GRACE_S = 0.5 + 0.05
NOTE = "x" * 4000          # in each endpoint's value, so that a change of all is over 32 KiB


def coded(text):
    return base64.b64encode(text.encode()).decode()


class Etcd:
    def __init__(self, loop, record):
        self.loop, self.record = loop, record
        self.revision, self.pairs, self.watchers, self.port = 10, {}, [], 0

    async def start(self):
        server = await self.loop.create_server(lambda: EtcdConnection(self), "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def header(self):
        return {"cluster_id": "77", "member_id": "1", "revision": str(self.revision), "raft_term": "2"}

    @staticmethod
    def pair(key, value, revision):
        return {"key": coded(key), "value": coded(value), "mod_revision": str(revision)}

    def events(self, pairs):
        return json.dumps({"result": {"header": self.header(), "events": [{"kv": one} for one in pairs]}}) + "\n"

    def put(self, items):
        """One transaction; returns the message of a watch."""
        self.revision += 1
        for key, value in items:
            self.pairs[key] = (value, self.revision)
        return self.events([self.pair(key, value, self.revision) for key, value in items])


class EtcdConnection(asyncio.Protocol):
    def __init__(self, etcd):
        self.etcd, self.buffer, self.transport = etcd, b"", None

    def connection_made(self, transport):
        self.transport = transport

    def connection_lost(self, _):
        if self in self.etcd.watchers:
            self.etcd.watchers.remove(self)

    def data_received(self, data):
        self.buffer += data
        while b"\r\n\r\n" in self.buffer:
            head, rest = self.buffer.split(b"\r\n\r\n", 1)
            size = int(re.search(rb"Content-Length: (\d+)", head).group(1))
            if len(rest) < size:
                return
            body, self.buffer = json.loads(rest[:size]), rest[size:]
            etcd = self.etcd
            path = head.split(b" ")[1].decode()
            etcd.record.write("registry", path, json.dumps(body)[:160])
            if path == "/v3/kv/range":
                pairs = [etcd.pair(key, value, at) for key, (value, at) in sorted(etcd.pairs.items())]
                text = json.dumps({"header": etcd.header(), "kvs": pairs, "count": str(len(pairs))}).encode()
                self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))
                continue
            since = int(body["create_request"]["start_revision"])
            self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.send(json.dumps({"result": {"header": etcd.header(), "created": True}}) + "\n")
            for key, (value, at) in sorted(etcd.pairs.items(), key=lambda one: one[1][1]):
                if at >= since:
                    self.send(etcd.events([etcd.pair(key, value, at)]))
            etcd.watchers.append(self)

    def send(self, text):
        data = text.encode()
        self.transport.write(b"%x\r\n%s\r\n" % (len(data), data))


async def case(loop, record):
    random_source = random.Random(51)
    drained = {"name": None, "at": None}
    late, counts = [], {"served": 0, "refused": 0, "failed": 0}

    def serve(connection, request):
        now = time.monotonic()
        record.write("arrived", request.id, request.traffic_class, "at", connection.quoter.name)
        if connection.quoter.name == drained["name"] and now > drained["at"] + GRACE_S:
            late.append(now - drained["at"])
            record.write("AFTER-DRAIN", request.id, "%.2f s after the drain was told" % late[-1])
        loop.call_later(random_source.uniform(0.02, 0.05), finish, connection, request)

    def finish(connection, request):
        if connection.open:
            connection.answer(connection.quoter.good(request, request.id.encode()))

    def answered(connection, ask):
        counts[kind_of(ask.answer)] += 1
        connection.close()

    def ended(connection, error, rest):
        pass

    etcd = Etcd(loop, record)
    deployment = Deployment(loop, record, serve, gateways=1)
    try:
        await etcd.start()
        for quoter in deployment.quoters:
            await quoter.start()

        def value(quoter, weight, state="in_service"):
            return json.dumps({**{key: quoter.listed()[key] for key in ("addr", "zone", "kind", "cell", "started_ms")},
                               "weight": weight, "state": state, "note": NOTE})

        for quoter in deployment.quoters:
            etcd.pairs["w/" + quoter.name] = (value(quoter, 1.0), 5)
        script = os.path.join(deployment.folder, "operators.star")
        with open(script, "w", encoding="utf-8") as file:
            file.write('registry("etcd", endpoints = ["127.0.0.1:%d"], prefix = "w/")\n' % etcd.port)
        await deployment.start(" --operators " + script)
        begin = time.monotonic()

        async def load():
            while time.monotonic() - begin < SECONDS:
                await asyncio.sleep(random_source.expovariate(PER_S))
                connection = await deployment.connect(0, answered, ended)
                name = random_source.choice(["quote-read", "slot-hold"])
                customer = "%016x" % random_source.getrandbits(33)
                connection.send([Ask(CLASSES[name], "industrial", customer, 2000, 1, 0, random_source)])

        loading = asyncio.ensure_future(load())
        await asyncio.sleep(QUIET_S)
        watch = etcd.watchers[0]
        watch.send(etcd.put([("w/" + quoter.name, value(quoter, 1.1)) for quoter in deployment.quoters]))
        first, one = deployment.quoters[0], deployment.quoters[4]
        watch.send(etcd.put([("w/" + first.name, value(first, 1.2))]))
        if not TROUBLE:
            await asyncio.sleep(1)
        watch.send(etcd.put([("w/" + one.name, value(one, 1.1, "terminating"))]))
        drained.update(name=one.name, at=time.monotonic())
        record.write("drain-told", one.name)
        await loading
        await asyncio.sleep(2)
    finally:
        deployment.end()
    summary = "served %(served)d, refused %(refused)d, failed %(failed)d" % counts
    summary += "; requests to the drained endpoint beyond the grace: %d" % len(late)
    summary += ", the last after %.1f s" % late[-1] if late else ""
    record.write("summary", summary)
    print(summary)
    return BROKEN if late else HELD


sys.exit(play(os.path.dirname(os.path.abspath(__file__)), case, "record-registry-drain.txt"))
