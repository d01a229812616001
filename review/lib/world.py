"""A small deployment on loopback: the project's amaranth-entry processes with
the command and the template of the deploy file, beside stand-ins of the
store, the routers, the targets and the clients."""

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

from client import Host
from store import Store
from target import Target
from wire import number, text

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = {"lv-a": 3, "lv-b": 2, "lv-c": 2}
GRACE_S = 6
IDLE_S = 15          # limits.idle_timeout_ms
TTL_S = 60           # bounds.flow_ttl_s
WINDOW_S = 4         # bounds.stable_window_ms


def render(template, fields):
    """Fills in a template as DEPLOY.md, Settings of a process, says; lists
    hold plain values."""
    def section(match):
        values = fields[match[1]]
        out = []
        for i, value in enumerate(values):
            part = match[2].replace("{{.}}", str(value))
            out.append(part.replace("{{,}}",
                                    "" if i == len(values) - 1 else ","))
        return "".join(out)

    template = re.sub(r"{{#([\w.]+)}}(.*?){{/\1}}", section, template,
                      flags=re.S)
    return re.sub(r"{{([\w.]+)}}", lambda m: str(fields[m[1]]), template)


def free_ports(ip, count):
    """Ports that no process uses at ip, for TCP and UDP."""
    found = []
    while len(found) < count:
        port = random.randint(20000, 30000)
        if port in found:
            continue
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as s:
                    s.bind((ip, port))
        except OSError:
            continue
        found.append(port)
    return found


class Vm:
    def __init__(self, world, name, zone, ip):
        self.world = world
        self.name = name
        self.zone = zone
        self.ip = ip
        self.misses = 2
        self.process = None
        self.settings = world.folder / f"{name}.conf"

    def write_settings(self):
        w = self.world
        fields = {"node": self.name, "zone": self.zone, "ip": self.ip,
                  "listen.packets": f"{self.ip}:{w.packets_port}",
                  "listen.ready_addr": f"{self.ip}:{w.ready_port}",
                  "listen.control": f"{self.ip}:{w.control_port}",
                  "platform.address": "%s:%d" % w.store_address,
                  "seeds": [f"{v.ip}:{w.control_port}" for v in w.seeds()],
                  "bounds.grace_s": GRACE_S, "limits.link_mbps": 1000.0}
        part = self.settings.with_suffix(".part")
        part.write_text(render(w.template, fields))
        part.replace(self.settings)

    def start(self):
        self.write_settings()
        with open(self.world.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                self.world.command, cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ["PATH"], "HOME": "/tmp",
                     "AMARANTHCROFT_CONFIG": str(self.settings)})
        self.world.note("start", vm=self.name)

    async def get(self, port, path):
        reader, writer = await asyncio.open_connection(self.ip, port)
        try:
            writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n"
                         "Connection: close\r\n\r\n".encode())
            return await reader.read()
        finally:
            writer.close()

    async def probe(self):
        """The routers' check, twice a second."""
        while True:
            await asyncio.sleep(0.5)
            if self.process.poll() is not None:
                self.world.note("ended", vm=self.name,
                                code=self.process.returncode)
                self.start()
            try:
                answer = await asyncio.wait_for(
                    self.get(self.world.ready_port, "/api/ready"), 0.4)
                ok = answer.startswith(b"HTTP/1.1 200")
            except (OSError, asyncio.TimeoutError):
                ok = False
            self.misses = 0 if ok else self.misses + 1


class World:
    def __init__(self, services, max_conns=2000):
        """services: {service: (route, port, kind)}"""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = next(iter(deploy["roles"].values()))
        self.command = role["run"].split()
        self.template = (ROOT / role["template"]).read_text()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.begin = time.monotonic()
        self.born_ms = int(time.time() * 1000)
        self.heartbeat_s = 1.2
        self.block = random.randint(64, 223)
        (self.packets_port, self.ready_port, self.control_port, store_port,
         self.target_port) = free_ports(self.ip(1), 5)
        self.store_address = (self.ip(1), store_port)
        self.store = Store()
        self.services = services
        self.max_conns = max_conns
        self.loss = 0.0         # share of the targets' datagrams that is lost
        self.lost = {"SYN+ACK": 0, "other": 0}
        self.last_echo = False  # clients take the echo of any SYN+ACK of a
                                # flow, not only of that which opened it
        self.version = 0
        self.targets = []
        self.vms = []
        self.hosts = []
        self.tasks = []
        self.events = []
        self.breaks = []
        self.counts = {"asked": 0, "served": 0, "unanswered": 0,
                       "not run": 0, "never opened": 0}
        self.runs = {}
        self.asked = {}        # service by request
        self.next_request = 0
        for z, (zone, count) in enumerate(ZONES.items()):
            for i in range(count):
                self.vms.append(Vm(self, f"front-{zone}-{i + 1}", zone,
                                   self.ip(10 + 20 * z + i)))

    def ip(self, host, net=0):
        return f"127.{self.block}.{net}.{host}"

    def now(self):
        return time.monotonic() - self.begin

    def note(self, what, **fields):
        self.events.append({"s": round(self.now(), 3), "what": what,
                            **fields})

    def broken(self, rule, text):
        self.breaks.append((rule, text))
        self.note("BROKEN", rule=rule, text=text)

    def seeds(self):
        return [next(v for v in self.vms if v.zone == z) for z in ZONES]

    # ---- the platform --------------------------------------------------

    def configure(self, drop=(), **more):
        """Writes the next version; its acknowledgement is at once."""
        self.version += random.randint(1, 9)
        routes = [{"name": f"r-{s}", "host": self.ip(1, 9),
                   "prefix": f"/{port}/", "kind": kind, "timeout_ms": 2500,
                   "slo_ms": 200, "priority": 1, "service": s, "attempts": 2}
                  for s, (port, kind) in self.services.items()
                  if s not in drop]
        routes += more.get("routes", [])
        names = list(self.services) + list(more.get("names", []))
        config = {"version": self.version, "routes": routes,
                  "services": [{"name": s, "health_path": "/health",
                                "max_conns": self.max_conns,
                                "protocol": "h1", "tls": False}
                               for s in names],
                  "limits": {"max_header_bytes": 16384,
                             "max_body_bytes": 262144,
                             "header_timeout_ms": 3000,
                             "idle_timeout_ms": IDLE_S * 1000}}
        self.store.put("op/config", json.dumps(config).encode())
        self.note("config", version=self.version)

    def route_packet(self, host, p):
        """The hash "steady" over the VMs of the zone that are in rotation."""
        near = [v for v in self.vms if v.zone == host.zone]
        up = [v for v in near if v.misses < 2]
        if 2 * len(up) < len(near):
            up = near
        if not any(v.misses < 2 for v in near):
            up = [v for v in self.vms if v.misses < 2] or near
        key = f"{p.src}:{p.sport}:{p.dst}:{p.dport}"
        return max(up, key=lambda v: hashlib.blake2b(
            (key + v.name).encode(), digest_size=8).digest()).ip

    def route(self, service):
        return number(self.ip(1, 9)), self.services[service][0]

    async def add_target(self, service, zone, number_=None, **more):
        n = len(self.targets) + 1
        t = Target(self, number_ or random.getrandbits(32) | 1, service, zone,
                   (self.ip(1 + n % 250, 2), self.target_port), **more)
        await t.start()
        self.targets.append(t)
        self.note("target", id=f"{t.id:08x}", service=service, zone=zone)
        return t

    async def start(self, hosts=3):
        await self.store.start(*self.store_address)
        self.configure()
        for vm in self.vms:
            vm.start()
        for vm in self.vms:
            self.tasks.append(asyncio.ensure_future(vm.probe()))
        for z, zone in enumerate(ZONES):
            for i in range(hosts):
                host = Host(self, self.ip(10 + z * 20 + i, 1), zone)
                await host.start()
                self.hosts.append(host)

    # ---- what is seen --------------------------------------------------

    def ran(self, target, request):
        self.runs.setdefault(request, []).append(f"{target.id:08x}")
        self.note("run", request=request, target=f"{target.id:08x}")

    def ran_by(self, request):
        """The services of the targets that began to work on request."""
        by_id = {f"{t.id:08x}": t.service for t in self.targets}
        return [by_id[x] for x in self.runs.get(request, [])]

    def syn_taken(self, target, key, p, vm):
        """Called for each SYN that reaches its target; for a script's use."""

    def foreign_packet(self, target, key, vm):
        self.note("foreign packet", target=f"{target.id:08x}", port=key[1],
                  vm=vm)

    def was_reset(self, host, flow, vm):
        """FLOW (a): a reset that the flow's target did not send.  A target
        sends none on a flow that it holds.  VM is the sender."""
        key = (number(host.ip), flow.port, *flow.route)
        owner = next((t for t in self.targets if t.alive and key in t.flows
                      and t.flows[key].open), None)
        now = self.now()
        self.note("reset", client=host.ip, port=flow.port, sender=vm,
                  open=flow.open.is_set(),
                  target=owner and f"{owner.id:08x}")
        if not owner or not flow.open.is_set():
            return
        held = owner.flows[key]
        if now - held.opened_s > TTL_S or now - held.used_s > IDLE_S:
            return
        self.broken("FLOW", f"{vm} reset the open flow {host.ip}:{flow.port} "
                    f"of the live target {owner.id:08x}, {owner.service}, "
                    f"{now - held.opened_s:.1f} s old, "
                    f"{len(owner.flows)} flows there")

    # ---- clients -------------------------------------------------------

    async def request(self, host, service, flow, size, deadline_s):
        """One request with up to two retries; its flow if it is still good."""
        kind = self.services[service][1]
        for _ in range(3):
            self.next_request += 1
            request = f"q{self.next_request}"
            self.counts["asked"] += 1
            if not flow:
                flow = host.open_flow(self.route(service))
                if not await flow.connect():
                    self.counts["never opened"] += 1
                    flow.close()
                    flow = None
                    continue
            self.asked[request] = service
            self.note("sent", request=request, service=service,
                      client=host.ip, port=flow.port)
            status = await flow.ask(request, size, deadline_s)
            if status:
                self.note("answered", request=request, status=status)
            if status == 200:
                self.counts["served"] += 1
                return flow
            self.counts["not run" if status else "unanswered"] += 1
            if status is None:
                self.note("unanswered", request=request, kind=kind,
                          why=flow.why or "deadline",
                          ran=len(self.runs.get(request, [])))
                flow.close()
                flow = None
                if kind == "non_idempotent":
                    return None
        return flow

    async def user(self, host, service, pause_s, keeps, size=0,
                   deadline_s=2.5, until_s=None):
        flow = None
        await asyncio.sleep(random.random() * pause_s)
        while until_s is None or self.now() < until_s:
            flow = await self.request(host, service, flow, size, deadline_s)
            if flow and not keeps:
                flow.close()
                flow = None
            await asyncio.sleep(pause_s * (0.75 + 0.5 * random.random()))
        if flow:
            flow.close()

    def add_users(self, count, *args, **more):
        for i in range(count):
            host = self.hosts[i % len(self.hosts)]
            self.tasks.append(asyncio.ensure_future(
                self.user(host, *args, **more)))

    async def ready(self):
        """Waits until all VMs are in rotation."""
        for _ in range(100):
            if all(v.misses == 0 for v in self.vms):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("a VM does not become ready")

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for vm in self.vms:
            if vm.process and vm.process.poll() is None:
                vm.process.kill()
                vm.process.wait()

    def record(self, folder, more):
        lines = [json.dumps(e) for e in self.events]
        lines.append(json.dumps({"counts": self.counts, **more}))
        (pathlib.Path(folder) / "record.txt").write_text(
            "\n".join(lines) + "\n")


def main(play, folder):
    """Runs play(world factory) and exits with 0, 1 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    made = []

    def make(*args, **more):
        made.append(World(*args, **more))
        return made[0]

    async def run():
        try:
            return await asyncio.wait_for(play(make, trouble), 110)
        finally:
            if made:
                await made[0].stop()

    def stop(*_):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, stop)
    try:
        more = asyncio.run(run()) or {}
    except Exception as error:      # the case could not run
        print(f"could not run: {error!r}")
        sys.exit(2)
    world = made[0]
    world.record(folder, {**more, "trouble": trouble})
    keep = os.environ.get("KEEP")
    if keep:
        shutil.copytree(world.folder, keep, dirs_exist_ok=True)
    shutil.rmtree(world.folder)
    for rule, said in world.breaks[:5]:
        print(f"{rule}: {said}")
    print(json.dumps({**world.counts, **more, "breaks": len(world.breaks)}))
    sys.exit(1 if world.breaks else 0)
