"""Stand-ins for the reviews' cases: quoters, discovery, counter, clients, and gateways as processes.

All of it runs in one asyncio loop on 127.0.0.1 with the real clock. The gateways are separate processes, started
with the `run` command of deploy/balancer.toml. Only the Python standard library is used.
"""
import asyncio
import atexit
import ctypes
import json
import os
import random
import re
import selectors
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HELD, BROKEN, CANNOT = 0, 10, 2  # run.sh makes 1 of 10: Python itself ends with 1 where a script is faulty
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MS = 1_000_000  # settings are in nanoseconds


def new_loop(precise):
    # select() takes microseconds, and descriptors below 1,024; epoll rounds each wait up to a millisecond.
    return asyncio.SelectorEventLoop(selectors.SelectSelector() if precise else selectors.DefaultSelector())


def free_ports(count):
    """Ports below those that the system hands out by itself, free now."""
    found, taken = [], []
    candidates = list(range(20000, 32000))
    random.SystemRandom().shuffle(candidates)
    for port in candidates:
        one = socket.socket()
        try:
            one.bind(("127.0.0.1", port))
        except OSError:
            one.close()
            continue
        taken.append(one)
        found.append(port)
        if len(found) == count:
            break
    for one in taken:
        one.close()
    return found


class Record:
    """record.txt: one line for each thing that was sent, answered or run."""

    def __init__(self, folder, name="record.txt"):
        self.file = open(os.path.join(folder, name), "w", encoding="utf-8")
        self.began = time.monotonic()

    def write(self, what, *words):
        line = "%9.4f %s" % (time.monotonic() - self.began, what)
        self.file.write(" ".join([line, *map(str, words)]) + "\n")

    def close(self):
        self.file.close()


# ---- RESP2 ----------------------------------------------------------------------------------------------------

def command(words):
    out = [b"*%d\r\n" % len(words)]
    for word in words:
        word = word if isinstance(word, bytes) else word.encode()
        out.append(b"$%d\r\n%s\r\n" % (len(word), word))
    return b"".join(out)


def bulk(value):
    return b"$-1\r\n" if value is None else b"$%d\r\n%s\r\n" % (len(value), value)


class Malformed(Exception):
    pass


class Reader:
    """Takes whole messages off a growing buffer: a list for an array, bytes for a bulk string, str for a line."""

    def __init__(self):
        self.buffer = bytearray()

    def feed(self, data):
        self.buffer += data

    def _line(self, at):
        end = self.buffer.find(b"\r\n", at)
        return (None, at) if end < 0 else (bytes(self.buffer[at:end]), end + 2)

    def _item(self, at):
        line, at = self._line(at)
        if line is None:
            return None
        kind, rest = line[:1], line[1:]
        if kind in b"+-:":
            return line.decode("latin-1"), at
        if kind == b"$":
            size = int(rest)
            if size < 0:
                return b"", at
            if len(self.buffer) < at + size + 2:
                return None
            return bytes(self.buffer[at:at + size]), at + size + 2
        if kind == b"*":
            items = []
            for _ in range(int(rest)):
                got = self._item(at)
                if got is None:
                    return None
                items.append(got[0])
                at = got[1]
            return items, at
        raise Malformed(line[:40])

    def take(self):
        if not self.buffer:
            return None
        got = self._item(0)
        if got is None:
            return None
        del self.buffer[:got[1]]
        return got[0]


# ---- Quoters --------------------------------------------------------------------------------------------------

class Quoter:
    """One quoter. `serve(connection, request)` decides what it does with each request."""

    served = set()  # requests that have had a good answer, of any quoter

    def __init__(self, loop, record, name, serve, wire_s=0.0):
        self.loop, self.record, self.name, self.serve, self.wire_s = loop, record, name, serve, wire_s
        self.connections = set()
        self.hangs_until = 0.0
        self.port = 0

    async def start(self):
        server = await self.loop.create_server(lambda: QuoterConnection(self), "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def listed(self, state="in_service"):
        return {"id": self.name, "addr": "127.0.0.1:%d" % self.port, "zone": "dc-1", "kind": "c2-fast", "cell": 0,
                "state": state, "weight": 1.0, "started_ms": 0}

    def good(self, request, value, cost=1):
        """A good answer; the true units come with a request's first one."""
        first = request.id not in Quoter.served
        Quoter.served.add(request.id)
        return b"*3\r\n" + bulk(value) + bulk(b"cost=%d" % cost if first else None) + bulk(None)

    def load(self):
        return b"inflight=%d,queue=0" % sum(connection.busy for connection in self.connections)

    def hang(self, seconds):
        """Silent from now on: nothing is answered, connections stay open."""
        self.hangs_until = time.monotonic() + seconds

    def hangs(self):
        return time.monotonic() < self.hangs_until


class Request:
    def __init__(self, words):
        self.verb, self.customer, self.id = (w.decode() for w in words[:3])
        self.fields = dict(pair.split("=", 1) for pair in words[3].decode().split(","))
        self.traffic_class = self.fields.get("c", "")


class QuoterConnection(asyncio.Protocol):
    def __init__(self, quoter):
        self.quoter, self.loop, self.reader = quoter, quoter.loop, Reader()
        self.transport = None
        self.open = False
        self.busy = False  # holds a request
        self.arrived = 0   # reads that have arrived so far

    def connection_made(self, transport):
        self.transport, self.open = transport, True
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.quoter.connections.add(self)

    def connection_lost(self, _):
        self.open = False
        self.quoter.connections.discard(self)

    def data_received(self, data):
        if self.quoter.wire_s > 0:
            self.loop.call_later(self.quoter.wire_s, self.on_arrived, data)
        else:
            self.on_arrived(data)

    def on_arrived(self, data):
        self.arrived += 1
        self.reader.feed(data)
        while (words := self.reader.take()) is not None:
            verb = words[0]
            if verb in (b"Q.ASK", b"Q.DO"):
                self.busy = True
                self.quoter.serve(self, Request(words))
            elif self.quoter.hangs():
                pass
            elif verb == b"INFO":
                self.write(bulk(self.quoter.load()))
            elif verb == b"PING":
                self.write(b"+PONG\r\n")
            else:
                self.write(b"+OK\r\n")

    def answer(self, data):
        self.busy = False
        self.write(data)

    def write(self, data):
        """Towards the gateway, over the wire."""
        if self.quoter.wire_s > 0:
            self.loop.call_later(self.quoter.wire_s, self._write_now, data)
        else:
            self._write_now(data)

    def _write_now(self, data):
        if self.open:
            self.transport.write(data)

    def reset(self):
        if self.open:
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
            self.transport.abort()


# ---- Discovery and counter ------------------------------------------------------------------------------------

class Discovery:
    """The agent beside one gateway. tell() is a change, which an open watch is told at once."""

    def __init__(self, loop, record, name):
        self.loop, self.record, self.name = loop, record, name
        self.version, self.servers, self.changes, self.waiting = 1, {}, [], set()
        self.port = 0

    async def start(self):
        server = await self.loop.create_server(lambda: DiscoveryConnection(self), "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def tell(self, entries):
        self.version += 1
        for entry in entries:
            self.changes.append((self.version, entry))
            if entry["state"] == "terminated":
                self.servers.pop(entry["id"], None)
            else:
                self.servers[entry["id"]] = entry
        for connection in list(self.waiting):
            connection.answer_changes()

    def whole(self):
        return {"version": self.version, "full": True, "servers": list(self.servers.values())}


class DiscoveryConnection(asyncio.Protocol):
    def __init__(self, agent):
        self.agent, self.buffer, self.timer, self.since = agent, b"", None, 0

    def connection_made(self, transport):
        self.transport = transport

    def connection_lost(self, _):
        self.agent.waiting.discard(self)
        if self.timer:
            self.timer.cancel()

    def data_received(self, data):
        self.buffer += data
        while b"\r\n\r\n" in self.buffer:
            head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
            target = head.split(b" ")[1].decode()
            asked = re.search(r"index=(-?\d+)", target)
            if not asked:
                self.answer(self.agent.whole())
                continue
            self.since = int(asked.group(1))
            wait = int(re.search(r"wait=(\d+)", target).group(1)) if "wait=" in target else 0
            if self.since < self.agent.version or wait == 0:
                self.answer_changes()
            else:
                self.agent.waiting.add(self)
                self.timer = self.agent.loop.call_later(wait / 1000, self.answer_changes)

    def answer_changes(self):
        self.agent.waiting.discard(self)
        if self.timer:
            self.timer.cancel()
        entries = [entry for version, entry in self.agent.changes if version > self.since]
        self.answer({"version": self.agent.version, "full": False, "servers": entries})

    def answer(self, body):
        text = json.dumps(body).encode()
        self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                             % (len(text), text))


class Counter:
    def __init__(self, loop):
        self.loop, self.totals, self.port = loop, {}, 0

    async def start(self):
        server = await self.loop.create_server(lambda: CounterConnection(self), "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def add(self, name, amount, life_ms):
        now = time.monotonic()
        total, end = self.totals.get(name, (0.0, 0.0))
        if end <= now:
            total, end = 0.0, now + min(max(life_ms, 1), 60000) / 1000
        self.totals[name] = (total + amount, end)
        return total + amount


class CounterConnection(asyncio.Protocol):
    def __init__(self, counter):
        self.counter, self.reader = counter, Reader()

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.reader.feed(data)
        while (words := self.reader.take()) is not None:
            if words[0] == b"TALLY":
                total = self.counter.add(words[1], float(words[2]), int(words[3]))
                self.counter.loop.call_later(0.001, self.transport.write, bulk(b"%.7g" % total))
            else:
                self.transport.write(b"+OK\r\n")


# ---- Clients --------------------------------------------------------------------------------------------------

class Ask:
    """One request of a client, and what came of it."""

    def __init__(self, traffic_class, plan, customer, wait_ms, spread, first, random_source, units=1, body=None):
        self.id = "%016x" % random_source.getrandbits(64)
        self.traffic_class, self.customer, self.wait_ms = traffic_class, customer, wait_ms
        fields = "c=%s,t=%s,d=%d" % (traffic_class["name"], plan, wait_ms)
        if traffic_class["idempotency"] == "dedup":
            fields += ",k=%016x" % random_source.getrandbits(64)
        fields += ",units=%d,spread=%d,first=%d" % (units, spread, first)
        verb = "Q.ASK" if traffic_class["idempotency"] == "retryable" else "Q.DO"
        words = [verb, customer, self.id, fields] + ([body] if body is not None else [])
        self.bytes = command(words)
        self.sent_at = self.answered_at = None
        self.answer = None


class ClientConnection(asyncio.Protocol):
    """Sends requests, one behind another where it is told to, and matches the answers in their order."""

    def __init__(self, on_answer, on_end, record=None):
        self.on_answer, self.on_end, self.record = on_answer, on_end, record
        self.reader, self.waiting, self.transport, self.open = Reader(), [], None, False
        self.left = False  # closed by the client itself

    def connection_made(self, transport):
        self.transport, self.open = transport, True
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def send(self, asks):
        now = time.monotonic()
        for ask in asks:
            ask.sent_at = now
            self.waiting.append(ask)
            if self.record:
                self.record.write("sent", ask.id, ask.traffic_class["name"], "of", ask.customer)
        self.transport.write(b"".join(ask.bytes for ask in asks))

    def data_received(self, data):
        self.reader.feed(data)
        while (message := self.reader.take()) is not None:
            if not self.waiting:
                raise Malformed("an answer that nobody waits for")
            ask = self.waiting.pop(0)
            ask.answered_at, ask.answer = time.monotonic(), message
            self.on_answer(self, ask)

    def connection_lost(self, error):
        self.open = False
        self.on_end(self, error, len(self.reader.buffer))

    def close(self):
        self.left = True
        if self.open:
            self.transport.abort()


def excuse(ask, arrived):
    """Why a request whose connection the gateway ended with no answer is not lost; None: it is.

    `arrived`: the requests that have come to a quoter. What has not may have crossed the close unread, and would be sent
    once more by its client.
    """
    if ask.id not in arrived:
        return "crossed"
    if time.monotonic() - ask.sent_at > ask.wait_ms / 1000:
        return "time-up"
    return None


def kind_of(answer):
    if isinstance(answer, bytes):
        return "served"
    return "refused" if answer.startswith("-BUSY") else "failed"


# ---- Gateways -------------------------------------------------------------------------------------------------

def run_command(arguments=""):
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        for line in file:
            found = re.match(r'\s*run\s*=\s*"((?:[^"\\]|\\.)*)"', line)
            if found:
                return found.group(1).encode().decode("unicode_escape") + arguments
    raise RuntimeError("deploy/balancer.toml names no run command")


STARTED = []   # gateways' processes, ended at exit whatever happens
FOLDERS = []


def clean_up():
    for process in STARTED:
        if process.poll() is None:
            process.kill()
            process.wait()
    for folder in FOLDERS:
        shutil.rmtree(folder, ignore_errors=True)


atexit.register(clean_up)
signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT))
signal.signal(signal.SIGINT, lambda *_: sys.exit(CANNOT))


def die_with_parent():
    """In the child: SIGKILL where the script itself is killed (PR_SET_PDEATHSIG)."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


class Gateway:
    def __init__(self, number, folder, config, record):
        self.number, self.folder, self.config, self.record = number, folder, config, record
        self.process = None
        self.arguments = ""  # behind the run command

    def start(self):
        os.makedirs(self.folder, exist_ok=True)
        path = os.path.join(self.folder, "config.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.config, file)
        environment = dict(os.environ)
        environment.update(BALANCER_NAME=self.config["name"], BALANCER_LISTEN=self.config["listen"],
                           BALANCER_DISCOVERY=self.config["discovery"], BALANCER_CONFIG=path, TMPDIR=self.folder)
        log = open(os.path.join(self.folder, "log"), "ab")
        self.process = subprocess.Popen(["/bin/sh", "-c", run_command(self.arguments)], cwd=ROOT, env=environment,
                                        stdin=subprocess.DEVNULL, stdout=log, stderr=log, start_new_session=True,
                                        preexec_fn=die_with_parent)
        log.close()
        STARTED.append(self.process)
        self.record.write("gateway-started", self.config["name"], "pid", self.process.pid)

    def log(self):
        with open(os.path.join(self.folder, "log"), encoding="utf-8", errors="replace") as file:
            return file.read()

    def ended(self):
        return self.process.poll() is not None

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    async def ready(self, within=10.0):
        host, port = self.config["listen"].rsplit(":", 1)
        until = time.monotonic() + within
        while time.monotonic() < until and not self.ended():
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(command(["PING"]))
                line = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if line == b"+PONG\r\n":
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        return False


CLASSES = {
    "quote-read": {"name": "quote-read", "idempotency": "retryable", "key_scope": "all", "aim": 1200 * MS,
                   "deadline": 4000 * MS, "dedup_window": 5000 * MS, "worth": 1.0, "late_worth": 0.0, "stream": False},
    "quote-create": {"name": "quote-create", "idempotency": "dedup", "key_scope": "all", "aim": 1200 * MS,
                     "deadline": 5000 * MS, "dedup_window": 10000 * MS, "worth": 5.0, "late_worth": 0.0,
                     "stream": False},
    "slot-hold": {"name": "slot-hold", "idempotency": "fragile", "key_scope": "all", "aim": 500 * MS,
                  "deadline": 2000 * MS, "dedup_window": 5000 * MS, "worth": 2.0, "late_worth": 0.2, "stream": False},
}


def scale_classes(part):
    """Aims and deadlines of a day with more requests of less work."""
    for one in CLASSES.values():
        one["aim"], one["deadline"] = int(one["aim"] * part), int(one["deadline"] * part)


def cotiza_settings(gateways, me, rates=1.0):
    """The settings of a day of cotiza-prod, as the platform's pages name and size them. `rates`: of the plans' figures."""
    return {
        "balancers": gateways, "me": me, "tier": 0, "layers": ["cotizadores"], "zone": "dc-1", "zones": ["dc-1"],
        "kinds": ["c2-fast", "c2-std"], "kind_of_service": "gate", "quantum": 4 * MS, "discovery": "pushed",
        "weights": "nominal", "classes": list(CLASSES.values()),
        "client_habits": {"marks_retry": False},
        "deductions": {"late_fail": 0.03, "waste": 0.08, "probe": 0.012, "peer": 0.031},
        "extra": {"may_count": True, "count_limit": 80 * MS, "units_top": 4, "trued_up": True, "call_price": 0.02,
                  "inbox_per_s": 60.0, "meter": 0},
        "guarantees": {"answer_slack": 16 * MS, "cold_from": 0.19, "fall": 1000 * MS, "fall_multiple": 4.0,
                       "must_ask_in": 10000 * MS, "ramp_time": 18000 * MS, "stop_sending_within": 500 * MS},
        "limits": {"cancel": True, "conn_idle": 30000 * MS, "connect_timeout": 250 * MS, "max_attempts": 6,
                   "max_open": 20844, "max_retry_after": 1000 * MS, "max_streams": 32, "may_probe": True,
                   "peers": True, "retry_after": True, "second_copies": False},
        "objective_mix": {"whole": 0.65, "worst_class": 0.0, "worst_tenant": 0.15, "worst_window": 0.2},
        "report": {"how": "probe", "fields": ["concurrent", "depth"]},
        "tariffs": [
            {"name": "basico", "units_per_s": 4.0 * rates, "most_at_once": 22.0 * rates, "max_out": 2, "pays": 1.3,
             "beyond_costs": 0.8, "extra_worth": 0.0, "hard_rate": 0.0, "never_over_depth": 0.0, "hard_slack": 0.0},
            {"name": "industrial", "units_per_s": 35.0 * rates, "most_at_once": 64.0 * rates, "max_out": 0, "pays": 1.4,
             "beyond_costs": 1.0, "extra_worth": 0.0, "hard_rate": 0.0, "never_over_depth": 0.0, "hard_slack": 0.0}],
    }


class Deployment:
    """A small cotiza-prod: quoters, the counter, and gateways with an agent of discovery each."""

    def __init__(self, loop, record, serve, gateways=2, quoters=9, wire_s=0.0, memory_mb=192, sockets=1024,
                 rates=1.0):
        self.loop, self.record, self.rates = loop, record, rates
        self.memory_mb, self.sockets = memory_mb, sockets
        # Short, since two processes of a gateway meet at a Unix socket in it.
        self.folder = tempfile.mkdtemp(prefix="review-", dir=None if len(tempfile.gettempdir()) <= 40 else "/tmp")
        FOLDERS.append(self.folder)
        self.quoters = [Quoter(loop, record, "s-%04x" % (0x1000 + 7 * i), serve, wire_s) for i in range(quoters)]
        self.counter = Counter(loop)
        self.agents = [Discovery(loop, record, "agent-%d" % i) for i in range(gateways)]
        self.gateways = []

    async def start(self, arguments=""):
        for one in [*self.quoters, self.counter, *self.agents]:
            if one.port == 0:
                await one.start()
        count = len(self.agents)
        ports = free_ports(3 * count)
        peers = ["127.0.0.1:%d" % port for port in ports[count:2 * count]]
        for i, agent in enumerate(self.agents):
            agent.servers = {quoter.name: quoter.listed() for quoter in self.quoters}
            config = {
                "name": "n%d" % i, "listen": "127.0.0.1:%d" % ports[i], "discovery": "127.0.0.1:%d" % agent.port,
                "counter": "127.0.0.1:%d" % self.counter.port, "seed": "%016x" % random.getrandbits(64),
                "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
                "mgmt": "127.0.0.1:%d" % ports[2 * count + i],
                "peer_listen": peers[i], "peers": peers, "known": agent.whole(),
                "settings": cotiza_settings(count, i, self.rates)}
            gateway = Gateway(i, os.path.join(self.folder, "n%d" % i), config, self.record)
            gateway.arguments = arguments
            self.gateways.append(gateway)
            gateway.start()
        for gateway in self.gateways:
            if not await gateway.ready():
                raise RuntimeError("gateway %d is not ready: %s" % (gateway.number, gateway.log()))

    async def connect(self, gateway, on_answer, on_end):
        host, port = self.gateways[gateway].config["listen"].rsplit(":", 1)
        _, connection = await self.loop.create_connection(lambda: ClientConnection(on_answer, on_end, self.record), host, int(port))
        return connection

    def end(self):
        for gateway in self.gateways:
            gateway.end()
        shutil.rmtree(self.folder, ignore_errors=True)


def play(folder, case, name="record.txt", precise=True):
    """Runs a case: `case(loop, record)` returns HELD or BROKEN. Anything thrown is CANNOT."""
    record = Record(folder, name)
    loop = new_loop(precise)
    asyncio.set_event_loop(loop)
    code = CANNOT
    try:
        code = loop.run_until_complete(asyncio.wait_for(case(loop, record), 110))
    except Exception as error:  # the case could not run
        record.write("cannot-run", type(error).__name__, str(error)[:2000])
        print("cannot run:", type(error).__name__, error, file=sys.stderr)
    record.write("exit", code)
    record.close()
    return code
