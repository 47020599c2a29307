#!/usr/bin/env python3
"""Three relays that vote and three gateways that follow them, on loopback, with links that can be cut.

    python3 example/distribution/fleet.py            writes example/distribution/run/, starts all, and takes commands
    python3 example/distribution/fleet.py ask 2 20   sends 20 calls to gateway 2 and prints the answers

Commands: "give a.star" (or "give b.star a.star": what makes the first of the second; files of example/distribution),
"state" (what each gateway and each relay says), "cut 2" (gateway 2 from all relays), "heal", "kill r0", "start r0".
"""
import json
import os
import socket
import subprocess
import sys
import threading
import time
import urllib.request

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import toy  # noqa: E402

RUN = os.path.join(FOLDER, "run")
PROGRAM = "build/linnetlead-gateway"
COUNT = 3
REGIONS = ("eu", "us", "ap")
toy.WORKERS = (7301, 7302)
toy.LIST["servers"] = [{"id": f"toy-{port}", "addr": f"127.0.0.1:{port}", "zone": "here", "kind": "toy", "cell": 0,
                        "state": "in_service", "weight": 1.0, "started_ms": 0} for port in toy.WORKERS]


def relay_port(relay):
    return 7600 + relay


def link_port(gateway, relay):
    """Where a gateway reaches a relay."""
    return 7610 + 10 * gateway + relay


class Link(threading.Thread):
    """Bytes both ways between a port of its own and a relay's, held back while it is cut."""
    cut = set()

    def __init__(self, gateway, relay):
        super().__init__(daemon=True)
        self.gateway, self.relay = gateway, relay
        self.server = socket.create_server(("127.0.0.1", link_port(gateway, relay)))

    def run(self):
        while True:
            near, _ = self.server.accept()
            try:
                far = socket.create_connection(("127.0.0.1", relay_port(self.relay)), timeout=1)
                far.settimeout(None)
            except OSError:
                near.close()
                continue
            for one, other in ((near, far), (far, near)):
                threading.Thread(target=self.pass_on, args=(one, other), daemon=True).start()

    def pass_on(self, one, other):
        try:
            while data := one.recv(65536):
                while self.gateway in Link.cut:
                    time.sleep(0.05)
                other.sendall(data)
        except OSError:
            pass
        for end in (one, other):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


def file_of(name, kind):
    return os.path.join(RUN, f"{name}.{kind}")


def write(path, text):
    with open(path + ".new", "w") as file:
        file.write(text)
    os.rename(path + ".new", path)


def fleet(port_of, more):
    """The operators' file that declares the fleet: one for all, but for the links of this example."""
    relays = "".join(f'relay("r{i}", region = "{REGIONS[i]}", zone = "{REGIONS[i]}-a", '
                     f'address = "127.0.0.1:{port_of(i)}", votes = True)\n' for i in range(COUNT))
    return relays + f"distribution({more})\n"


def config(gateway):
    with open(os.path.join(os.path.dirname(FOLDER), "config.json")) as file:
        made = json.load(file)
    made.update(name=f"n{gateway}", listen=f"127.0.0.1:{7010 + gateway}", mgmt=f"127.0.0.1:{7020 + gateway}",
                seed=f"{gateway + 1}")
    made["settings"].update(balancers=COUNT, me=gateway)
    return json.dumps(made)


def start(name):
    log = open(file_of(name, "log"), "a")
    if name[0] == "r":
        return subprocess.Popen([PROGRAM, "relay", "--config", file_of("relays", "star"), "--name", name], stderr=log)
    return subprocess.Popen([PROGRAM, "--operators", file_of(name, "star")], stderr=log,
                            env=dict(os.environ, BALANCER_CONFIG=file_of(name, "json")))


def change(*words):
    relays = [word for i in range(COUNT) for word in ("--relay", f"127.0.0.1:{relay_port(i)}")]
    return subprocess.run([PROGRAM, "change", *words, *relays], env=dict(os.environ, BALANCER_CONFIG=""))


def state():
    for gateway in range(COUNT):
        try:
            with urllib.request.urlopen(f"http://127.0.0.1:{7020 + gateway}/v1/accord", timeout=2) as answer:
                told = json.load(answer)["distribution"]
            print(f"gateway {gateway}: revision {told['revision']}, fenced {told['fenced']}, {told['keys']} keys, "
                  f"relay {told['relay']}")
        except OSError as problem:
            print(f"gateway {gateway}: {problem}")
    for relay in range(COUNT):
        told = subprocess.run([PROGRAM, "change", "state", "--relay", f"127.0.0.1:{relay_port(relay)}"],
                              capture_output=True, text=True)
        if told.returncode:
            print(f"r{relay}: {told.stderr.strip()}")
            continue
        told = json.loads(told.stdout)
        print(f"r{relay}: {told['role']}, revision {told['revision']}, {told['gateways']} gateways, "
              f"{told['fenced']} fenced, pending {[one['change'] for one in told['pending']]}")


def serve():
    os.makedirs(RUN, exist_ok=True)
    for port, handler in [(toy.DISCOVERY, toy.Registry), (toy.COUNTER, toy.Counter),
                          *((port, toy.Worker) for port in toy.WORKERS)]:
        threading.Thread(target=toy.Server(("127.0.0.1", port), handler).serve_forever, daemon=True).start()
    write(file_of("relays", "star"), fleet(relay_port, f'directory = "{RUN}/{{relay}}"'))
    for gateway in range(COUNT):
        for relay in range(COUNT):
            Link(gateway, relay).start()
        write(file_of(f"n{gateway}", "json"), config(gateway))
        write(file_of(f"n{gateway}", "star"),
              fleet(lambda relay, of=gateway: link_port(of, relay),
                    f'zone = "{REGIONS[gateway]}-a", snapshot = "{RUN}/{{gateway}}.state"'))
    names = [f"r{i}" for i in range(COUNT)] + [f"n{i}" for i in range(COUNT)]
    running = {name: start(name) for name in names}
    print("relays at 7600 to 7602, gateways at 7010 to 7012, second addresses 7020 to 7022, logs in "
          "example/distribution/run/")
    sys.stdout.flush()
    try:
        for line in sys.stdin:
            words = line.split() or [""]
            if words[0] == "give" and len(words) > 1:
                files = [os.path.join(FOLDER, word) for word in words[1:]]
                change("apply", files[0], *(["--old", files[1]] if len(files) > 1 else []))
            elif words[0] == "state":
                state()
            elif words[0] == "cut":
                Link.cut = {int(words[1])}
            elif words[0] == "heal":
                Link.cut = set()
            elif words[0] == "kill":
                running[words[1]].kill()
                running[words[1]].wait()
            elif words[0] == "start":
                running[words[1]] = start(words[1])
            elif words[0] == "wait":
                time.sleep(float(words[1]))
            else:
                print(__doc__)
            sys.stdout.flush()
    finally:
        for one in running.values():
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
