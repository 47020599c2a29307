#!/usr/bin/env python3
"""Everything round one gateway, as toys on loopback: two workers, the registry and the counter.

    python3 example/toy.py          plays them until Ctrl-C
    python3 example/toy.py ask 20   sends 20 calls to the gateway and prints the answers
"""
import json
import random
import socket
import socketserver
import sys
import threading
import time

GATEWAY, DISCOVERY, COUNTER, WORKERS = 7000, 7100, 7200, (7301, 7302)
CUSTOMER = "00000000b4d65521"
LIST = {"version": 1, "full": True, "servers": [
    {"id": f"toy-{port}", "addr": f"127.0.0.1:{port}", "zone": "here", "kind": "toy", "cell": 0,
     "state": "in_service", "weight": 1.0, "started_ms": 0} for port in WORKERS]}


def pack(words):
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(w), w) for w in map(str.encode, words))


def unpack(stream):
    """One command, or none at the end."""
    line = stream.readline()
    words = []
    for _ in range(int(line[1:]) if line else 0):
        size = int(stream.readline()[1:])
        words.append(stream.read(size + 2)[:-2].decode())
    return words


class Worker(socketserver.StreamRequestHandler):
    def handle(self):
        while words := unpack(self.rfile):
            if words[0] == "INFO":
                self.wfile.write(b"$18\r\ninflight=0,queue=0\r\n")
                continue
            time.sleep(random.uniform(0.02, 0.06))
            value = f"quoted by {self.server.server_address[1]}".encode()
            self.wfile.write(b"*3\r\n$%d\r\n%s\r\n$6\r\ncost=1\r\n$-1\r\n" % (len(value), value))


class Counter(socketserver.StreamRequestHandler):
    totals = {}

    def handle(self):
        while words := unpack(self.rfile):
            now = time.monotonic()
            total, end = self.totals.get(words[1], (0, 0))
            if end <= now:
                total, end = 0, now + int(words[3]) / 1000
            self.totals[words[1]] = (total + float(words[2]), end)
            text = b"%g" % self.totals[words[1]][0]
            self.wfile.write(b"$%d\r\n%s\r\n" % (len(text), text))


class Registry(socketserver.StreamRequestHandler):
    def handle(self):
        while line := self.rfile.readline().decode():
            while self.rfile.readline().strip():
                pass
            body = LIST
            if f"index={LIST['version']}&" in line:  # nothing is new here: let the watch wait
                time.sleep(int(line.split("wait=")[1].split()[0]) / 1000)
                body = {"version": LIST["version"], "full": False, "servers": []}
            text = json.dumps(body).encode()
            self.wfile.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))


class Server(socketserver.ThreadingTCPServer):
    allow_reuse_address = daemon_threads = True


def ask(count):
    with socket.create_connection(("127.0.0.1", GATEWAY)) as gateway:
        stream = gateway.makefile("rb")
        for _ in range(count):
            fields = "c=quote-read,t=basico,d=4000,units=1,spread=1,first=0"
            gateway.sendall(pack(["Q.ASK", CUSTOMER, f"{random.getrandbits(64):016x}", fields]))
            line = stream.readline().decode().strip()
            print(stream.readline().decode().strip() if line.startswith("$") else line)


def serve():
    for port, handler in [(DISCOVERY, Registry), (COUNTER, Counter), *((port, Worker) for port in WORKERS)]:
        threading.Thread(target=Server(("127.0.0.1", port), handler).serve_forever, daemon=True).start()
    print(f"workers {WORKERS}, registry {DISCOVERY}, counter {COUNTER}; the gateway listens on {GATEWAY}")
    threading.Event().wait()


if __name__ == "__main__":
    try:
        ask(int(sys.argv[2])) if sys.argv[1:2] == ["ask"] else serve()
    except KeyboardInterrupt:
        pass
