"""A small deployment on loopback for the review's scripts.

Entry VMs are the project's program, started with the command of
deploy/system.toml and its settings template.  The store, the packets' format
and nothing else are the project's stand-ins; targets, callers and routers are
those below.  Everything that is sent, answered and run goes to record.txt.
"""

import asyncio
import hashlib
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "platform" / "standin"))
from packets import ACK, FIN, RST, SYN, Packet, number, text, unpack  # noqa: E402
from store import Store  # noqa: E402

# Bounds of a small deployment (sites/stikls-riga.toml), seconds.
STABLE_S = 4.0
ROLLBACK_SLACK_S = 0.25
CONFIG_APPLY_S = 3.0
DRAIN_S = 3.0

# Protocol: copies of a SYN, and the end of an attempt.
SYN_AT_S = (0.0, 0.2, 0.6)
OPEN_S = 1.4
RESEND_S = 0.2
RESEND_MAX_S = 1.6
TARGET_RESENDS = 8
HEARTBEAT_S = 1.2
PROBE_S = 0.5
RESET_WINDOW = 76800

# Lines of each VM's log that go to the record at most.
LOG_LINES = 200
# A log of more lines gives those of resets of open flows alone.
MANY_LINES = 1000


def free_port(ip):
    """A port that is free for UDP and TCP on every address of a run."""
    while True:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as s:
            s.bind((ip, 0))
            port = s.getsockname()[1]
        with socket.socket() as s:
            try:
                s.bind((ip, port))
                return port
            except OSError:
                pass


class Run:
    """One run: its folder, clock, record and processes."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.work = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.out = open(self.folder / "record.txt", "w")
        self.begin = time.monotonic()
        self.rng = random.Random()
        self.broken = []
        self.vms = []
        self.targets = {}
        self.clients = {}
        self.block = self.rng.randint(20, 120)
        self.ports = {n: free_port(self.ip(1)) for n in
                      ("packets", "ready", "peers", "store", "target",
                       "metrics")}
        self.loss = 0.0          # of datagrams between VMs, targets, callers
        self.route_ip = self.ip(200, 3)
        self.record(f"trouble={int(self.trouble)} block=127.{self.block}")

    def ip(self, host, net=0):
        return f"127.{self.block}.{net}.{host}"

    def now(self):
        return time.monotonic() - self.begin

    def record(self, line):
        self.out.write(f"{self.now():9.4f} {line}\n")

    def rule_broken(self, line):
        self.broken.append(line)
        self.record("BROKEN " + line)

    def lost(self):
        return self.loss and self.rng.random() < self.loss

    async def start_store(self):
        self.store = Store()
        await self.store.start(self.ip(1), self.ports["store"])

    def write_config(self, version, routes, services):
        body = {"version": version,
                "routes": [{"name": f"r{i}", "host": r["ip"],
                            "prefix": f"/{r['port']}/",
                            "kind": r.get("kind", "non_idempotent"),
                            "timeout_ms": 3000, "slo_ms": 200, "priority": 1,
                            "service": r["service"], "attempts": 2}
                           for i, r in enumerate(routes)],
                "services": [{"name": s, "health_path": "/health",
                              "max_conns": 2000, "protocol": "h1",
                              "tls": False} for s in services],
                "limits": {"max_header_bytes": 16384,
                           "max_body_bytes": 262144,
                           "header_timeout_ms": 3000,
                           "idle_timeout_ms": 15000}}
        self.store.put("op/config", json.dumps(body).encode())
        self.record(f"store acknowledged config version={version} "
                    + " ".join(f"{r['port']}->{r['service']}"
                               for r in routes))

    async def ready(self, seconds=8.0):
        """Waits until all VMs are in rotation."""
        end = self.now() + seconds
        while self.now() < end:
            if all(v.in_rotation for v in self.vms):
                return True
            await asyncio.sleep(0.05)
        return False

    def route(self, key, zone):
        """The VM that the routers of ZONE choose for a packet."""
        near = [v for v in self.vms if v.zone == zone]
        up = [v for v in near if v.in_rotation]
        if 2 * len(up) < len(near):
            up = near
        return max(up, key=lambda v: hashlib.blake2b(
            f"{key}:{v.name}".encode(), digest_size=8).digest())

    async def finish(self):
        """Ends all processes.  Returns the exit code of the script."""
        for v in self.vms:
            v.stop()
        deadline = time.monotonic() + 8
        for v in self.vms:
            while v.process.poll() is None and time.monotonic() < deadline:
                await asyncio.sleep(0.05)
            if v.process.poll() is None:
                v.process.kill()
            v.process.wait()
        self.record(f"ended broken={len(self.broken)}")
        for v in self.vms:
            self.keep_log(v)
        self.out.close()
        shutil.rmtree(self.work)
        return 1 if self.broken else 0

    def keep_log(self, vm):
        """Copies what VM logged of its beliefs to the record."""
        lines = (self.work / f"{vm.name}.log").read_text().splitlines()
        kept = [x for x in lines if re.match(r"\S+ (target |conf|store-)", x)
                and len(lines) < MANY_LINES
                or re.search("reason=(unknown_ticket|target_gone)", x)]
        self.out.write(f"log of {vm.name}, {len(kept)} lines of {len(lines)}:\n"
                       + "".join(x + "\n" for x in kept[:LOG_LINES]))


class Vm:
    """One entry VM, and the routers' check of its readiness."""

    def __init__(self, run, name, zone, ip):
        self.run = run
        self.name = name
        self.zone = zone
        self.ip = ip
        self.in_rotation = False
        self.misses = 2
        self.process = None
        self.started = 0.0
        run.vms.append(self)

    def fields(self):
        r = self.run
        p = r.ports
        return {"node": self.name, "zone": self.zone,
                "listen.packets": f"{self.ip}:{p['packets']}",
                "listen.ready_addr": f"{self.ip}:{p['ready']}",
                "listen.control": f"{self.ip}:{p['peers']}", "ip": self.ip,
                "platform.address": f"{r.ip(1)}:{p['store']}",
                "bounds.grace_s": "6", "limits.link_mbps": "1000.0"}

    def start(self):
        r = self.run
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = next(iter(deploy["roles"].values()))
        seeds = ",".join(f'"{v.ip}:{r.ports["peers"]}"' for v in r.vms[:3])
        settings = (ROOT / role["template"]).read_text()
        settings = re.sub(r"\{\{#seeds\}\}.*?\{\{/seeds\}\}", seeds, settings)
        for name, value in self.fields().items():
            settings = settings.replace("{{" + name + "}}", value)
        settings = re.sub(r"\{\{[^}]*\|json\}\}", "", settings)
        settings = settings.replace(f"{self.ip}:9464",
                                    f"{self.ip}:{r.ports['metrics']}")
        path = r.work / f"{self.name}.yaml"
        path.write_text(settings)
        log = open(r.work / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            role["run"].split(), cwd=ROOT, stdout=log, stderr=log,
            env={**os.environ, "AMARANTHCROFT_CONFIG": str(path)})
        log.close()
        self.started = r.now()
        r.record(f"{self.name} started pid={self.process.pid}")
        self.task = asyncio.get_running_loop().create_task(self.probe())

    def stop(self):
        self.task.cancel()
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.send_signal(signal.SIGTERM)

    def ask(self):
        try:
            with urllib.request.urlopen(
                    f"http://{self.ip}:{self.run.ports['ready']}/api/ready",
                    timeout=0.45) as answer:
                return answer.status == 200
        except OSError:
            return False

    async def probe(self):
        loop = asyncio.get_running_loop()
        while True:
            ok = await loop.run_in_executor(None, self.ask)
            self.misses = 0 if ok else self.misses + 1
            if (self.misses < 2) != self.in_rotation:
                self.in_rotation = self.misses < 2
                self.run.record(f"{self.name} in rotation={self.in_rotation}")
            code = self.process.poll()
            if code is not None:
                self.run.rule_broken(f"{self.name} ended by itself: {code}")
                return
            await asyncio.sleep(PROBE_S)


class TargetFlow:
    def __init__(self, echo, next_seq, opening):
        self.seq = random.getrandbits(32)
        self.echo = echo
        self.next_seq = next_seq
        self.sent = (self.seq + 1) & 0xffffffff
        self.acked = self.sent
        self.open = False
        self.opening = opening   # (copy, VM's address) of the SYN it took
        self.received = b""


class Target(asyncio.DatagramProtocol):
    """One incarnation of a target."""

    def __init__(self, run, ident, service, zone, ip):
        self.run = run
        self.id = ident
        self.service = service
        self.zone = zone
        self.address = (ip, run.ports["target"])
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.dark = False
        self.flows = {}
        self.work_s = 0.005
        run.targets[ident] = self

    async def start(self):
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self,
                                            local_addr=self.address)
        self.register()

    def register(self):
        """Writes its entry; one in which only seq differs is no change."""
        self.seq += 1
        self.run.store.put(f"servers/i-{self.id:x}", json.dumps({
            "service": self.service, "zone": self.zone, "version": "v1",
            "address": f"{self.address[0]}:{self.address[1]}", "capacity": 2,
            "state": self.state, "seq": self.seq, "warmup_left_ms": 0,
            "born": self.born}).encode())
        self.run.record(f"store acknowledged i-{self.id:x} {self.service} "
                        f"{self.state}")

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, raw, sender):
        if self.dark or self.run.lost():
            return
        intended = int.from_bytes(raw[:8], "big")
        if intended and intended != self.id:
            return
        read = unpack(raw[8:])
        if not read or not read[1]:
            self.run.rule_broken("UNASKED a target got a changed packet")
            return
        self.take(read[0], sender[0])

    def take(self, p, vm):
        key = (p.src, p.sport, p.dst, p.dport)
        flow = self.flows.get(key)
        if p.flags & RST:
            self.flows.pop(key, None)
        elif p.flags & SYN:
            if not flow:
                flow = TargetFlow(p.echo, (p.seq + 1) & 0xffffffff,
                                  (p.ack, vm))
                self.flows[key] = flow
                self.run.opened(self, p, vm)
            flow.echo = p.echo
            self.send(p, SYN | ACK, flow, flow.seq)
        elif not flow:
            self.send(p, RST, TargetFlow(p.echo, 0, None), p.ack)
        else:
            self.carry(p, flow, key)

    def carry(self, p, flow, key):
        flow.echo = p.echo
        flow.open = True
        flow.acked = max(flow.acked, p.ack)
        if p.data and p.seq == flow.next_seq:
            flow.next_seq = (flow.next_seq + len(p.data)) & 0xffffffff
            flow.received += p.data
        if p.data:
            self.send(p, ACK, flow, flow.sent)
        if p.flags & FIN:
            self.send(p, ACK, flow, flow.sent)
            self.flows.pop(key, None)
            return
        while b"\n" in flow.received:
            line, flow.received = flow.received.split(b"\n", 1)
            asyncio.ensure_future(self.work(p, flow, key, line.decode()))

    async def work(self, p, flow, key, request):
        self.run.ran(self, request, flow)
        await asyncio.sleep(self.work_s)
        body = f"{request} {self.service}\n".encode()
        start = flow.sent
        flow.sent = (flow.sent + len(body)) & 0xffffffff
        wait = RESEND_S
        for _ in range(TARGET_RESENDS):
            if self.dark or self.flows.get(key) is not flow \
                    or flow.acked >= start + len(body):
                return
            self.send(p, ACK, flow, start, body)
            await asyncio.sleep(wait)
            wait = min(2 * wait, RESEND_MAX_S)

    def send(self, p, flags, flow, seq, data=b""):
        if self.run.lost():
            return
        out = Packet(flags, p.dst, p.dport, p.src, p.sport, flow.echo, seq,
                     flow.next_seq, data)
        self.transport.sendto(out.pack(),
                              (text(p.src), self.run.ports["packets"]))


class Flow:
    """One flow of a caller."""

    def __init__(self, client, port, route):
        self.client = client
        self.port = port
        self.route = route
        self.seq = random.getrandbits(31)
        self.peer = None         # next byte expected; None: not open
        self.echo = 0
        self.acked = self.seq
        self.sent_s = {}         # time of each copy of the SYN
        self.changed = asyncio.Event()
        self.reset = None
        self.received = b""

    def send(self, flags, seq, data=b"", ack=0):
        p = Packet(flags, number(self.client.ip), self.port, self.route[0],
                   self.route[1], 0 if flags == SYN else self.echo,
                   seq & 0xffffffff, ack & 0xffffffff, data)
        self.client.send(p)

    def take(self, p, sender):
        if p.flags & RST:
            own = not p.ack and not p.echo
            if own and self.peer is not None and (
                    p.seq - self.peer + RESET_WINDOW) % (1 << 32) \
                    > 2 * RESET_WINDOW:
                return
            self.reset = sender if own else "target"
        elif p.flags & SYN:
            self.echo = p.echo
            if self.peer is None:
                self.peer = (p.seq + 1) & 0xffffffff
                self.acked = (self.seq + 1) & 0xffffffff
            self.send(ACK, self.seq + 1, ack=self.peer)
        else:
            self.echo = p.echo
            self.acked = max(self.acked, p.ack)
            if p.data and self.peer == p.seq:
                self.peer = (self.peer + len(p.data)) & 0xffffffff
                self.received += p.data
            if p.data:
                self.send(ACK, self.acked, ack=self.peer)
        self.changed.set()

    async def wait(self, seconds):
        self.changed.clear()
        try:
            await asyncio.wait_for(self.changed.wait(), max(0.001, seconds))
        except asyncio.TimeoutError:
            pass

    async def connect(self):
        """True once the flow is open."""
        run = self.client.run
        begin = run.now()
        for copy, at in enumerate(SYN_AT_S + (OPEN_S,)):
            while run.now() < begin + at:
                await self.wait(begin + at - run.now())
                if self.reset or self.peer is not None:
                    return self.peer is not None and not self.reset
            if copy < len(SYN_AT_S):
                self.sent_s[copy] = run.now()
                self.send(SYN, self.seq, ack=copy)
        return False

    async def ask(self, request, deadline_s):
        """The answer, or None at a reset or the deadline."""
        run = self.client.run
        data = request.encode() + b"\n"
        start = (self.seq + 1) & 0xffffffff if not hasattr(self, "next") \
            else self.next
        self.next = (start + len(data)) & 0xffffffff
        end = run.now() + deadline_s
        wait = RESEND_S
        resend = 0.0
        while run.now() < end and not self.reset:
            if b"\n" in self.received:
                line, self.received = self.received.split(b"\n", 1)
                return line.decode()
            if self.acked < start + len(data) and run.now() >= resend:
                self.send(ACK, start, data, ack=self.peer)
                resend = run.now() + wait
                wait = min(2 * wait, RESEND_MAX_S)
            await self.wait(min(resend if resend > run.now() else end, end)
                            - run.now())
        return None

    def close(self):
        if self.peer is not None and not self.reset:
            self.send(FIN | ACK, self.acked, ack=self.peer)
        self.client.flows.pop(self.port, None)


class Client(asyncio.DatagramProtocol):
    """One caller's address."""

    def __init__(self, run, ip, zone):
        self.run = run
        self.ip = ip
        self.zone = zone
        self.flows = {}
        self.port = 1024
        run.clients[number(ip)] = self

    async def start(self):
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(self.ip, self.run.ports["packets"]))

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, raw, sender):
        read = unpack(raw)
        p = read[0] if read else None
        own = p and p.flags == RST and raw[:4] == bytes(4) and not p.data
        if not read or not (read[1] or own):
            self.run.rule_broken("MIXED a caller got a changed packet")
            return
        flow = self.flows.get(p.dport)
        if flow and (p.src, p.sport) == flow.route:
            flow.take(p, sender[0])

    def open(self, route):
        self.port = 1025 + (self.port - 1024) % 60000
        flow = Flow(self, self.port, route)
        self.flows[self.port] = flow
        return flow

    def send(self, p):
        vm = self.run.route((p.src, p.sport, p.dst, p.dport), self.zone)
        self.transport.sendto(p.pack(), (vm.ip, self.run.ports["packets"]))


def main(case, folder, seconds=118):
    """Runs CASE, a coroutine function of a Run, and exits like run.sh must:
    1 the rule was broken, 0 it held, 2 the case could not run."""
    async def play():
        run = Run(folder)
        task = asyncio.ensure_future(asyncio.wait_for(case(run), seconds))
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM,
                                                      task.cancel)
        try:
            await task
        except (Exception, asyncio.CancelledError) as error:
            # The case could not run.
            run.record(f"could not run: {error!r}")
            await run.finish()
            return 2
        return await run.finish()

    sys.exit(asyncio.run(play()))
