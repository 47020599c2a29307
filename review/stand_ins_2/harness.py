"""Small stand-ins for the systems around a gateway, on loopback, in one asyncio process: quoters, discovery, the counter
and clients, by the protocol page. The gateways are separate processes, started with the command of the deploy file."""
import asyncio
import ctypes
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    pass


def end_with_this_process():
    """In a child, before it runs its program: the kernel ends it when this process has ended, whatever ended it."""
    PR_SET_PDEATHSIG = 1
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def command(key):
    """A command of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
        found = re.search(r'^%s = "([^"]*)"' % key, file.read(), re.M)
    if not found:
        raise CouldNotRun("the deploy file has no command " + key)
    return found.group(1)


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Record:
    def __init__(self, path):
        self.file = open(path, "w")
        self.began = time.time()

    def __call__(self, text):
        self.file.write("%9.4f %s\n" % (time.time() - self.began, text))

    def close(self):
        self.file.close()


def pack(words):
    out = [b"*%d\r\n" % len(words)]
    for word in words:
        word = word.encode() if isinstance(word, str) else word
        out.append(b"$%d\r\n%s\r\n" % (len(word), word))
    return b"".join(out)


def bulk(text):
    text = text.encode() if isinstance(text, str) else text
    return b"$%d\r\n%s\r\n" % (len(text), text)


def take_message(data, at):
    """The message that begins at `at` and the place behind it, or (None, at) where it is not whole."""
    end = data.find(b"\r\n", at)
    if end < 0:
        return None, at
    kind, line = data[at:at + 1], bytes(data[at + 1:end])
    if kind in (b"+", b"-", b":"):
        return (kind + line).decode("latin-1"), end + 2
    if kind == b"$":
        size = int(line)
        if size < 0:
            return "", end + 2
        if len(data) < end + 2 + size + 2:
            return None, at
        return bytes(data[end + 2:end + 2 + size]).decode("latin-1"), end + 2 + size + 2
    if kind == b"*":
        items, place = [], end + 2
        for _ in range(int(line)):
            item, behind = take_message(data, place)
            if item is None:
                return None, at
            items.append(item)
            place = behind
        return items, place
    raise ValueError("no RESP: %r" % bytes(data[at:at + 40]))


class Peer(asyncio.Protocol):
    """One connection that speaks RESP."""

    def __init__(self):
        self.data = bytearray()
        self.transport = None
        self.is_open = False

    def connection_made(self, transport):
        self.transport = transport
        self.is_open = True
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data):
        self.data += data
        at = 0
        while self.is_open:
            message, behind = take_message(self.data, at)
            if message is None:
                break
            at = behind
            self.message(message)
        del self.data[:at]

    def connection_lost(self, problem):
        self.is_open = False

    def message(self, message):
        raise NotImplementedError

    def write(self, data):
        if self.is_open:
            self.transport.write(data)


def fields_of(text):
    return dict(pair.split("=", 1) for pair in text.split(",") if "=" in pair)


class QuoterConnection(Peer):
    def __init__(self, quoter):
        super().__init__()
        self.quoter = quoter
        self.line = asyncio.Lock()

    def message(self, words):
        verb = words[0].upper()
        if verb in ("Q.ASK", "Q.DO"):
            return self.quoter.take(self, words)
        if verb == "INFO":
            return self.write(bulk("inflight=%d,queue=0" % self.quoter.open))
        if verb == "PING":
            return self.write(b"+PONG\r\n")
        if verb in ("CLIENT", "SELECT"):
            return self.write(b"+OK\r\n")
        self.write(b"-ERR unknown command\r\n")


class Quoter:
    """A sound quoter: it starts on a command when the last byte has come and answers with a value of its own for it."""

    def __init__(self, name, record, service):
        self.name, self.record, self.service = name, record, service
        self.open = 0
        self.port = None
        self.runs = []  # (time, words)

    async def start(self):
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: QuoterConnection(self), "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return self

    def listed(self, state="in_service", started_ms=0):
        return {"id": self.name, "addr": "127.0.0.1:%d" % self.port, "zone": "dc-1", "kind": "c2-fast", "cell": 0,
                "state": state, "weight": 1.0, "started_ms": started_ms}

    def value(self, words):
        return "%s for %s" % (self.name, words[2])

    def reply(self, words):
        units = fields_of(words[3]).get("units", "1")
        return b"*3\r\n" + bulk(self.value(words)) + bulk("cost=" + units) + b"$-1\r\n"

    def take(self, connection, words):
        self.runs.append((time.time(), words))
        self.record("run %s %s %s" % (self.name, words[2], words[3]))
        self.open += 1
        asyncio.get_running_loop().call_later(self.service(words), self.done, connection, words)

    def done(self, connection, words):
        self.open -= 1
        self.answer(connection, words)

    def answer(self, connection, words):
        connection.write(self.reply(words))


class Discovery:
    """The agent: the whole list, and watches that wait for something newer."""

    def __init__(self, record):
        self.record = record
        self.version = 1
        self.entries = {}
        self.changes = []  # (version, entry)
        self.news = None
        self.port = None
        self.down = False  # then the agent is silent: it takes connections and calls, and answers nothing

    async def start(self):
        self.news = asyncio.Condition()
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return self

    def whole(self):
        return {"version": self.version, "full": True, "servers": list(self.entries.values())}

    async def tell(self, entry):
        self.version += 1
        self.entries[entry["id"]] = entry
        self.changes.append((self.version, entry))
        self.record("list version %d: %s is %s" % (self.version, entry["id"], entry["state"]))
        async with self.news:
            self.news.notify_all()

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                asked = dict(pair.split("=") for pair in target.partition("?")[2].split("&") if pair)
                body = self.whole()
                if "index" in asked:
                    index = int(asked["index"])
                    until = time.monotonic() + int(asked.get("wait", "0")) / 1000
                    while self.version <= index and time.monotonic() < until:
                        async with self.news:
                            try:
                                await asyncio.wait_for(self.news.wait(), until - time.monotonic())
                            except asyncio.TimeoutError:
                                pass
                    body = {"version": self.version, "full": False,
                            "servers": [entry for version, entry in self.changes if version > index]}
                while self.down:
                    await asyncio.sleep(0.05)
                text = json.dumps(body).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s" %
                             (len(text), text))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class CounterConnection(Peer):
    def __init__(self, counter):
        super().__init__()
        self.counter = counter
        counter.connections.add(self)

    def connection_lost(self, problem):
        super().connection_lost(problem)
        self.counter.connections.discard(self)

    def message(self, words):
        if words[0].upper() == "TALLY":
            return self.counter.take(self, words)
        self.write(b"+PONG\r\n" if words[0].upper() == "PING" else b"+OK\r\n")


class Counter:
    """Adds to named numbers. While `silent`, it answers nothing and adds nothing."""

    def __init__(self, record):
        self.record = record
        self.totals = {}
        self.connections = set()
        self.silent = False
        self.port = None
        self.calls = 0
        self.log = lambda name: False

    async def start(self):
        server = await asyncio.get_running_loop().create_server(lambda: CounterConnection(self), "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return self

    def take(self, connection, words):
        if self.silent:
            return
        asyncio.get_running_loop().call_later(0.0015, self.add, connection, words)

    def add(self, connection, words):
        if self.silent:
            return
        self.calls += 1
        _, name, amount, life = words
        now = time.monotonic()
        total, end = self.totals.get(name, (0.0, 0))
        if end <= now:
            total, end = 0.0, now + min(int(life), 60000) / 1000
        total += float(amount)
        self.totals[name] = (total, end)
        if self.log(name):
            self.record("counter %s %+g = %g" % (name, float(amount), total))
        connection.write(bulk("%.7g" % total))

    def restart_silent(self):
        """The service falls silent: open connections stay open, nothing is answered."""
        self.silent = True
        self.record("counter falls silent")

    def back(self, empty):
        """It is back: old connections are reset, as those of a process that has died."""
        if empty:
            self.totals = {}
        for connection in list(self.connections):
            connection.transport.abort()
        self.silent = False
        self.record("counter is back, " + ("empty" if empty else "with its counts"))


class ClientConnection(Peer):
    def __init__(self, front):
        super().__init__()
        self.front = front
        self.waiting = None
        self.left = False

    def message(self, message):
        self.front.answered(self, message)

    def connection_lost(self, problem):
        super().connection_lost(problem)
        self.front.lost(self)


class Front:
    """Clients of one gateway: one request at a time on a connection, and a new one where all are busy."""

    def __init__(self, port, record, on_end):
        self.port, self.record, self.on_end = port, record, on_end
        self.idle = []
        self.all = set()

    async def ask(self, words, call):
        connection = None
        while self.idle and connection is None:
            candidate = self.idle.pop()
            connection = candidate if candidate.is_open else None
        if connection is None:
            _, connection = await asyncio.get_running_loop().create_connection(
                lambda: ClientConnection(self), "127.0.0.1", self.port)
            self.all.add(connection)
        connection.waiting = call
        connection.write(pack(words))

    def answered(self, connection, message):
        call, connection.waiting = connection.waiting, None
        self.idle.append(connection)
        if call is not None:
            self.on_end(call, message)

    def lost(self, connection):
        self.all.discard(connection)
        call, connection.waiting = connection.waiting, None
        if call is not None:
            self.on_end(call, None)


class Gateways:
    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="linnetlead-review-")
        self.processes = []
        self.run = command("run")

    def start(self, name, config, options="", mgmt=None):
        path = os.path.join(self.folder, name + ".json")
        with open(path, "w") as file:
            json.dump(config, file)
        tmp = os.path.join(self.folder, "tmp-" + name)
        os.makedirs(tmp, exist_ok=True)
        env = {"PATH": os.environ["PATH"], "BALANCER_CONFIG": path, "BALANCER_NAME": config["name"],
               "BALANCER_LISTEN": config["listen"], "BALANCER_DISCOVERY": config["discovery"], "TMPDIR": tmp}
        if mgmt:
            env["BALANCER_MGMT"] = "127.0.0.1:%d" % mgmt
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        process = subprocess.Popen(["/bin/sh", "-c", self.run + (" " + options if options else "")], cwd=ROOT, env=env,
                                   stdin=subprocess.DEVNULL, stdout=log, stderr=log, preexec_fn=end_with_this_process)
        log.close()
        self.processes.append(process)
        self.record("gateway %s started" % name)
        return process

    async def ready(self, port, within=20):
        until = time.monotonic() + within
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(pack(["PING"]))
                line = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if line == b"+PONG\r\n":
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CouldNotRun("a gateway was not ready in time: " + self.logs())

    async def admin(self, port, call="GET /v1/readyz"):
        """The status of a call at the admin endpoint; 0 where nothing answers."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(("%s HTTP/1.1\r\nHost: 127.0.0.1:%d\r\n\r\n" % (call, port)).encode())
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return int(line.split()[1])
        except (OSError, IndexError, ValueError, asyncio.TimeoutError):
            return 0

    def logs(self):
        text = ""
        for name in sorted(os.listdir(self.folder)):
            if name.endswith(".log"):
                with open(os.path.join(self.folder, name), errors="replace") as file:
                    text += "--- %s\n%s" % (name, file.read())
        return text

    def ended(self):
        return [process.returncode for process in self.processes if process.poll() is not None]

    def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        text = self.logs()
        shutil.rmtree(self.folder, ignore_errors=True)
        return text


def site_config(name, me, gateways, discovery, counter, listen, **more):
    """A configuration as a small day of cotiza-prod would have it."""
    config = {
        "name": name, "listen": "127.0.0.1:%d" % listen, "discovery": "127.0.0.1:%d" % discovery.port,
        "counter": "127.0.0.1:%d" % counter.port, "seed": "%016x" % random.getrandbits(64),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": {
            "balancers": gateways, "me": me, "zone": "dc-1", "quantum": 4000000, "discovery": "pushed",
            "classes": [
                {"name": "quote-read", "idempotency": "retryable", "aim": 1200000000, "deadline": 4000000000, "worth": 1},
                {"name": "quote-create", "idempotency": "dedup", "key_scope": "all", "dedup_window": 10000000000,
                 "aim": 1200000000, "deadline": 5000000000, "worth": 5},
                {"name": "slot-hold", "idempotency": "fragile", "aim": 500000000, "deadline": 2000000000, "worth": 2,
                 "late_worth": 0.2}],
            "tariffs": [
                {"name": "basico", "units_per_s": 5, "most_at_once": 22, "pays": 1.3, "beyond_costs": 0.8},
                {"name": "industrial", "units_per_s": 33, "most_at_once": 70, "pays": 1.4, "beyond_costs": 1.0}],
            "extra": {"may_count": True, "count_limit": 80000000, "units_top": 4},
            "limits": {"cancel": True, "may_probe": True, "retry_after": True, "max_retry_after": 1000000000,
                       "max_attempts": 6, "conn_idle": 30000000000, "connect_timeout": 250000000},
            "report": {"how": "probe", "fields": ["inflight", "queue"]},
            "guarantees": {"answer_slack": 16000000, "cold_from": 0.2, "ramp_time": 18000000000, "fall_multiple": 4.0,
                           "fall": 1000000000, "stop_sending_within": 500000000}}}
    config.update(more)
    return config


def run_case(folder, play, name="record.txt"):
    """`play(record, gateways)` is a coroutine that returns (verdict, text)."""
    record = Record(os.path.join(folder, name))
    gateways, verdict = None, COULD_NOT_RUN
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    try:
        gateways = Gateways(record)
        verdict, text = asyncio.run(asyncio.wait_for(play(record, gateways), 115))
    except (CouldNotRun, asyncio.TimeoutError, OSError) as problem:
        text = "could not run: %s %s" % (type(problem).__name__, problem)
    finally:
        if gateways:
            crashed = [code for code in gateways.ended() if code not in (0, None)]
            logs = gateways.stop()
            if crashed:
                record("gateways ended by themselves: %s" % crashed)
            for line in logs.splitlines()[-400:]:
                record("log " + line)
    record("trouble %s, verdict %d: %s" % ("on" if TROUBLE else "off", verdict, text))
    record.close()
    print(text)
    sys.exit(verdict)
