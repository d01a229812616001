"""Promise 2 and design 5.2, stale entry VM: one entry VM is cut off from its
peers and the store while a service is retired, its quarantine passes and
another service takes the upstream's address.  Guards against a packet of the
old service that the stale entry VM delivers to the new one, and against a cut
off entry VM that stops serving what it still can."""

import base64
import json
import socket
import time
import urllib.request

import common
import cluster
import wire

OPEN, OPENED, DATA, REQUEST = 1, 2, 3, 9
HEADER = 20
TICKET = 64

# Longer than an upstream's proof counts (AM_VALIDATION_LIFETIME_US, 20 s).
QUARANTINE_SECONDS = 24

SERVICES = [
    *common.SERVICES,
    {"name": "rental", "upstreams": 2,
     "classes": [{"id": 0, "name": "order", "kind": "one_time", "weight": 2,
                  "priority": 0, "deadline_ms": 3000, "queue_limit": 64}]},
    {"name": "survey", "upstreams": 2},
]


class Caller:
    """Opens flows of one service and sends on them."""

    def __init__(self, c, service, last):
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((f"127.{c.block}.240.{last}", 0))
        self.socket.setblocking(False)
        ip, port = c.services[service]["address"].split(":")
        self.service = (ip, int(port))
        self.tickets = {}
        self.next = last << 32

    def open(self, count, request_class=None):
        for _ in range(count):
            self.next += 1
            body = (b"\0\0" if request_class is None
                    else bytes([1, request_class]))
            self.socket.sendto(wire.packet(OPEN, self.next, body=body),
                               self.service)

    def read(self):
        """Keeps the tickets that came."""
        while True:
            try:
                p = self.socket.recv(2048)
            except BlockingIOError:
                return
            if p[3] == OPENED and len(p) >= HEADER + TICKET:
                self.tickets[int.from_bytes(p[4:12], "big")] = \
                    p[HEADER:HEADER + TICKET]

    def send(self, tickets, kind=DATA, body=b"x"):
        for connection, ticket in tickets.items():
            self.socket.sendto(wire.packet(kind, connection, 1, ticket, body),
                               self.service)


def pass_quarantine(c, name):
    """Moves the time at which record NAME was retired back by an hour."""
    key = f"http://{c.store_address}/v1/kv/amaranth/records/{name}"
    with urllib.request.urlopen(key) as answer:
        record = json.loads(base64.b64decode(json.load(answer)[0]["Value"]))
    record["retired_at"] -= 3600
    record["revision"] += 1
    record["write_id"] = "f" * len(record["write_id"])
    request = urllib.request.Request(key, method="PUT",
                                     data=json.dumps(record).encode())
    with urllib.request.urlopen(request):
        pass


def start_successor(c):
    """Upstreams of survey at the addresses of those of rental."""
    path = c.folder / "survey.yaml"
    text = path.read_text()
    for i in range(2):
        text = text.replace(c.upstream_address("survey", i),
                            c.upstream_address("rental", i))
    path.write_text(text)
    c.upstream("stop rental-1")
    c.upstream("stop rental-2")
    time.sleep(0.2)
    control = f"127.{c.block}.0.3:7902"
    c.spawn("successors", [
        c.program("standin-upstream"), "--record", path, "--history",
        c.history / "successor.jsonl", "--control", control])
    return path, control


def body(t):
    c = t.cluster(services=SERVICES, store_relays=True, cut=True)
    (c.records / "survey.yaml").rename(c.folder / "survey.yaml")
    (c.upstream_records / "survey.yaml").unlink()
    c.start()
    stale, others = c.vms[2], c.vms[:2]
    old = Caller(c, "rental", 1)
    old.open(12)
    time.sleep(1)
    old.read()
    kept = dict(old.tickets)
    t.expect(len(kept) == 12, f"{len(kept)} of 12 flows opened")

    c.cut([(stale.address + ".", o.address + ".") for o in others])
    c.relay(f"store-{stale.data_centre}", "cut")
    c.note("fault", what="partition", vm=stale.name)
    begin = time.monotonic()
    c.ctl("retire", "rental", "--no-wait")
    path, control = start_successor(c)
    time.sleep(QUARANTINE_SECONDS)
    pass_quarantine(c, "rental")
    c.write("apply", path)
    c.wait_in_force(others)
    t.expect(c.revisions()["rental"] > c.status(stale)["in_force"]["rental"],
             "the entry VM that is cut off is not stale")

    for vm in others:
        c.fabric_command(f"forwarder remove {vm.data}")
    inside = c.start_caller("inside", [
        "--flows", "dispatch:20", "--open-rate", 20, "--seconds", 5])
    new = Caller(c, "rental", 2)
    for _ in range(20):
        old.send(kept)
        new.open(3)
        new.open(1, request_class=0)
        time.sleep(0.2)
        new.read()
        new.send(new.tickets, REQUEST, bytes(12) + b"x")
    inside.wait(40)
    got = cluster.control(control, "stats")["upstreams"]
    reached = sum(u["wrong_service"] for u in got.values())
    print(f"after {time.monotonic() - begin:.0f} s: {reached} packets of the "
          f"old service reached the new one, {len(new.tickets)} tickets")
    figures = c.events("wrong_service")
    t.expect(reached == 0 and not figures,
             f"{reached} packets reached the other service: {figures[:2]}")
    t.check(c)
    t.expect(len({e["flow"] for e in c.events("opened")}) >= 20,
             "the entry VM that is cut off does not serve the others")


if __name__ == "__main__":
    common.run(body, __file__)
