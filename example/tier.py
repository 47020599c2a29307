#!/usr/bin/env python3
"""Three gateways that agree, on loopback, with links between them that can be cut.

    python3 example/tier.py            writes example/tier/, starts the toys and the gateways, and takes commands
    python3 example/tier.py ask 2 20   sends 20 calls to gateway 2 and prints the answers

Commands: "cut 2" (from the others), "heal", "slow 7304" (a worker; "slow" for none), "file 2 5" (gives gateway 2 the
file of version 5), "state" (what each says of the accord).
"""
import json
import os
import selectors
import signal
import socket
import subprocess
import sys
import threading
import time
import urllib.request

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import toy  # noqa: E402

HERE = os.path.join(os.path.dirname(os.path.abspath(__file__)), "tier")
COUNT = 3
toy.WORKERS = (7301, 7302, 7303, 7304)
toy.LIST["servers"] = [{"id": f"toy-{port}", "addr": f"127.0.0.1:{port}", "zone": "here", "kind": "toy", "cell": 0,
                        "state": "in_service", "weight": 1.0, "started_ms": 0} for port in toy.WORKERS]


class Worker(toy.Worker):
    slow = None

    def handle(self):
        while words := toy.unpack(self.rfile):
            if words[0] == "INFO":
                self.wfile.write(b"$18\r\ninflight=0,queue=0\r\n")
                continue
            mine = self.server.server_address[1] == Worker.slow
            time.sleep(0.04 * (8 if mine else 1))
            value = f"quoted by {self.server.server_address[1]}".encode()
            self.wfile.write(b"*3\r\n$%d\r\n%s\r\n$6\r\ncost=1\r\n$-1\r\n" % (len(value), value))


def port_of(of, as_):
    """Where gateway `of` reaches gateway `as_`."""
    return 7400 + 10 * of + as_


def listens(gateway):
    return 7500 + gateway


class Links(threading.Thread):
    cut = set()

    def run(self):
        sockets = {}
        ready = selectors.DefaultSelector()
        for of in range(COUNT):
            for as_ in range(COUNT):
                one = sockets[of, as_] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                one.bind(("127.0.0.1", port_of(of, as_)))
                ready.register(one, selectors.EVENT_READ, (of, as_))
        while True:
            for key, _ in ready.select():
                of, as_ = key.data
                datagram = key.fileobj.recv(512)
                if of == as_ or of in self.cut or as_ in self.cut:
                    continue
                sockets[as_, of].sendto(datagram, ("127.0.0.1", listens(as_)))


def star(version):
    return (f"accord({version})\nhealth(dwell = seconds(5))\nforms()\nschema(\"prices\", {version})\n"
            f"pool(\"all-{version}\", kinds = [\"toy\"])\n")


def file_of(gateway, kind):
    return os.path.join(HERE, f"{gateway}.{kind}")


def write(path, text):
    with open(path + ".new", "w") as file:
        file.write(text)
    os.rename(path + ".new", path)


def config(gateway):
    with open(os.path.join(os.path.dirname(HERE), "config.json")) as file:
        made = json.load(file)
    made.update(name=f"n{gateway}", listen=f"127.0.0.1:{7010 + gateway}", mgmt=f"127.0.0.1:{7020 + gateway}",
                seed=f"{gateway + 1}", peer_listen=f"127.0.0.1:{listens(gateway)}",
                peers=[f"127.0.0.1:{port_of(gateway, other)}" for other in range(COUNT)])
    made["settings"].update(balancers=COUNT, me=gateway)
    made["settings"]["limits"]["peers"] = True
    made["settings"]["tariffs"][0].update(units_per_s=500, most_at_once=1000)
    return json.dumps(made)


def state():
    for gateway in range(COUNT):
        try:
            with urllib.request.urlopen(f"http://127.0.0.1:{7020 + gateway}/v1/accord", timeout=2) as answer:
                told = json.load(answer)
            print(f"gateway {gateway}: version {told['in_force']['version']}, fenced {told['fenced']}, members "
                  f"{told['members']}, degraded {told['degraded']}, lacking {told.get('lacking', [])}")
        except OSError as problem:
            print(f"gateway {gateway}: {problem}")


def serve():
    os.makedirs(HERE, exist_ok=True)
    for port, handler in [(toy.DISCOVERY, toy.Registry), (toy.COUNTER, toy.Counter),
                          *((port, Worker) for port in toy.WORKERS)]:
        threading.Thread(target=toy.Server(("127.0.0.1", port), handler).serve_forever, daemon=True).start()
    Links(daemon=True).start()
    gateways = []
    for gateway in range(COUNT):
        write(file_of(gateway, "json"), config(gateway))
        write(file_of(gateway, "star"), star(1))
        with open(file_of(gateway, "log"), "w") as log:
            gateways.append(subprocess.Popen(["build/linnetlead-gateway", "--operators", file_of(gateway, "star")], stderr=log,
                                             env=dict(os.environ, BALANCER_CONFIG=file_of(gateway, "json"))))
    print("gateways at 7010 to 7012, second addresses 7020 to 7022, logs in example/tier/")
    try:
        for line in sys.stdin:
            words = line.split() or [""]
            if words[0] == "cut":
                Links.cut = {int(words[1])}
            elif words[0] == "heal":
                Links.cut = set()
            elif words[0] == "slow":
                Worker.slow = int(words[1]) if len(words) > 1 else None
            elif words[0] == "file":
                write(file_of(int(words[1]), "star"), star(int(words[2])))
                gateways[int(words[1])].send_signal(signal.SIGHUP)
            elif words[0] == "state":
                state()
            else:
                print(__doc__)
            sys.stdout.flush()
    finally:
        for one in gateways:
            one.terminate()


if __name__ == "__main__":
    if sys.argv[1:2] == ["ask"]:
        toy.GATEWAY = 7010 + int(sys.argv[2])
        toy.ask(int(sys.argv[3]))
    else:
        try:
            serve()
        except KeyboardInterrupt:
            pass
