"""A small deployment on loopback for the scripts of the second review.

Real amaranth-entry processes, started with the command and the settings
template of the deploy file, beside the project's own stand-ins of the store
and of callers and targets (platform/standin).  Only free ports and a temporary
folder are used, and only processes that were started here are ended.
"""

import asyncio
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

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.dont_write_bytecode = True
sys.path.insert(0, str(ROOT / "platform" / "standin"))

from caller import Host  # noqa: E402
from packets import number  # noqa: E402
from proxy import Proxy  # noqa: E402
from store import Store  # noqa: E402
from target import Target  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUTE_IP = "127.18.0.1"
# The routers ask twice a second; two misses take a VM out of rotation.
PROBE_S = 0.5
MISSES = 2
RESTART_S = 0.3
START_SPREAD_S = 0.3

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def free_ports(count):
    """Port numbers that are free for TCP and UDP on every loopback address."""
    held, ports = [], []
    while len(ports) < count:
        stream = socket.socket()
        datagram = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        held += [stream, datagram]
        stream.bind(("0.0.0.0", 0))
        port = stream.getsockname()[1]
        try:
            datagram.bind(("0.0.0.0", port))
        except OSError:
            continue
        ports.append(port)
    for end in held:
        end.close()
    return ports


def render(template, fields):
    """Fills in the settings template as the platform does; sections stand for
    a list of texts, or for a value that may be missing."""
    def section(match):
        value = fields.get(match[1])
        if isinstance(value, list):
            parts = []
            for i, entry in enumerate(value):
                comma = "," if i + 1 < len(value) else ""
                parts.append(match[2].replace("{{.}}", entry)
                             .replace("{{,}}", comma))
            return "".join(parts)
        return match[2] if value is not None else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template,
                  flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}",
                  lambda m: str(fields.get(m[1], "")), text)


class Vm:
    """One entry VM: its process, its link to the store, its readiness."""

    def __init__(self, d, name, zone, ip, link_mbps):
        self.d = d
        self.name = name
        self.zone = zone
        self.ip = ip
        self.link_mbps = link_mbps
        self.process = None
        self.ready = False
        self.misses = MISSES
        self.removed = False
        self.store_link = Proxy((d.ip(1), d.store_port))

    def fields(self):
        d = self.d
        return {
            "node": self.name, "zone": self.zone, "ip": self.ip,
            "listen.packets": f"{self.ip}:{d.packets_port}",
            "listen.ready_addr": f"{self.ip}:{d.ready_port}",
            "listen.control": f"{self.ip}:{d.control_port}",
            "platform.address": f"{self.ip}:{d.store_port}",
            "seeds": [f"{vm.ip}:{d.control_port}" for vm in d.seeds],
            "limits.link_mbps": float(self.link_mbps), **d.bounds}

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["entry"]
        settings = self.d.folder / f"{self.name}.conf"
        # The template's metrics port is fixed; here several VMs share a
        # machine, but each has an address of its own.
        settings.write_text(render((ROOT / role["template"]).read_text(),
                                   self.fields()))
        with open(self.d.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(), cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ["PATH"],
                     "AMARANTHCROFT_CONFIG": str(settings)})
        self.d.log(f"{self.name} started")

    def signal(self, number_of_signal):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number_of_signal)

    def remove(self):
        """The machine is removed for good, without SIGTERM."""
        self.removed = True
        self.signal(signal.SIGKILL)
        self.process.wait()
        self.d.log(f"{self.name} removed")

    async def ask_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, self.d.ready_port), 0.4)
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: vm\r\n"
                         b"Connection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.4)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def supervise(self):
        """Asks whether it is ready and restarts its process."""
        while True:
            await asyncio.sleep(PROBE_S)
            if not self.removed and self.process.poll() is not None:
                self.d.log(f"{self.name} ended with {self.process.returncode}")
                await asyncio.sleep(RESTART_S)
                self.start()
            ok = await self.ask_ready()
            self.misses = 0 if ok else self.misses + 1
            if self.ready != (self.misses < MISSES):
                self.ready = self.misses < MISSES
                self.d.ever_ready = True
                self.d.log(f"{self.name} is {'in' if self.ready else 'out of'}"
                           " rotation")


class Deployment:
    """links holds the bandwidths of the VMs of each data centre, Mbit/s."""

    def __init__(self, zones=3, links=(1000, 1000), bounds=None):
        self.begin = time.monotonic()
        self.lines = []
        self.failures = []
        (self.packets_port, self.ready_port, self.control_port,
         self.store_port, self.target_port) = free_ports(5)
        self.block = random.randint(60, 250)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.bounds = {"bounds.grace_s": 6, **(bounds or {})}
        self.store = Store()
        self.zones = [f"zone-{i}" for i in range(zones)]
        self.vms = [Vm(self, f"front-{zone}-{i + 1}", zone,
                       self.ip(10 + z * 70 + i), mbps)
                    for z, zone in enumerate(self.zones)
                    for i, mbps in enumerate(links)]
        self.seeds = [vm for vm in self.vms if vm.name.endswith("-1")][:3]
        self.hosts = []
        self.targets = {}
        self.tasks = []
        self.next_target = 0
        self.version = 0
        self.ever_ready = False  # a VM was in rotation
        self.direct = {}  # caller's port: the VM that gets its packets

    # ---- record ----------------------------------------------------------

    def now(self):
        return time.monotonic() - self.begin

    def log(self, text):
        self.lines.append(f"{self.now():8.3f} {text}")

    def broken(self, text):
        self.failures.append(text)
        self.log(f"BROKEN {text}")

    def write_record(self, folder):
        lines = [*self.lines, f"broken {len(self.failures)} times"]
        (folder / "record.txt").write_text("\n".join(lines) + "\n")

    # ---- called by the project's stand-ins -------------------------------

    def passes(self, sender, receiver):
        return True

    def opened(self, target, packet, vm_ip):
        """A SYN reached a target."""

    def count_cold(self, target, packet):
        """A SYN of a new flow reached a target."""

    def runs(self, target, request, kind):
        self.log(f"request {request} runs at {target.id:x} ({target.service})")

    def was_reset(self, flow, vm_ip):
        """A VM reset a flow."""

    # ---- platform --------------------------------------------------------

    def ip(self, host, net=0):
        return f"127.{self.block}.{net}.{host}"

    def vm_at(self, ip):
        return next((vm for vm in self.vms if vm.ip == ip), None)

    async def start(self, hosts_a_zone=1):
        loop = asyncio.get_running_loop()
        await self.store.start(self.ip(1), self.store_port)
        for vm in self.vms:
            await vm.store_link.start(vm.ip, self.store_port)
        for z, zone in enumerate(self.zones):
            for i in range(hosts_a_zone):
                host = Host(self.ip(10 + z * 20 + i, 1), zone, self)
                await loop.create_datagram_endpoint(
                    lambda h=host: h, local_addr=(host.ip, self.packets_port))
                self.hosts.append(host)
        last = 0
        for at, vm in sorted(((random.uniform(0, START_SPREAD_S), vm)
                              for vm in self.vms), key=lambda pair: pair[0]):
            await asyncio.sleep(at - last)
            last = at
            vm.start()
        self.tasks += [loop.create_task(vm.supervise()) for vm in self.vms]

    def configure(self, routes, services):
        """The operator writes the next version; returns when the store has
        acknowledged it."""
        self.version += random.randint(1, 5)
        value = json.dumps(
            {"version": self.version, "routes": routes, "services": services,
             "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                        "header_timeout_ms": 3000, "idle_timeout_ms": 15000}},
            separators=(",", ":")).encode()
        self.store.put("op/config", value)
        self.log(f"version {self.version} acknowledged: {len(routes)} routes,"
                 f" {len(value)} bytes")
        return self.now()

    async def add_target(self, service, zone):
        self.next_target += 1
        n = self.next_target
        target = Target(random.getrandbits(31) | 1 << 31, service, zone,
                        self.ip(1 + n % 250, 2 + n // 250), self.target_port,
                        self)
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: target, local_addr=target.address)
        self.targets[target.id] = target
        self.store.put(target.key, target.entry())
        return target

    def route_packet(self, host, packet):
        """The VM that the routers send a packet to."""
        if packet.sport in self.direct:
            return self.direct[packet.sport]
        near = [vm for vm in self.vms if vm.zone == host.zone]
        up = [vm for vm in near if vm.ready]
        if 2 * len(up) < len(near):
            up = near
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        return max(up, key=lambda vm: hash((key, vm.name))).ip

    async def open_at(self, vm, host, address, port):
        """Sends the SYN of a flow directly to vm.  Returns (opened, reset by
        that VM, seconds)."""
        flow = host.open_flow((number(address), port))
        self.direct[flow.port] = vm.ip
        begin = self.now()
        opened = await flow.connect()
        seconds = self.now() - begin
        flow.close()
        return opened, flow.reset_by == vm.ip, seconds

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for vm in self.vms:
            vm.signal(signal.SIGCONT)
            vm.signal(signal.SIGKILL)
            if vm.process:
                vm.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def run(folder, play):
    """Plays the case and ends the process with its result."""
    if not (ROOT / "target" / "amaranth-entry").exists():
        print("target/amaranth-entry is missing: build the deploy file first")
        sys.exit(COULD_NOT_RUN)

    async def main():
        d = play.deployment()
        try:
            await play(d)
        finally:
            await d.stop()
            d.write_record(folder)
        return d

    try:
        d = asyncio.run(main())
    except Exception as error:  # a fault of the script breaks no rule
        print(f"could not run: {error!r}")
        sys.exit(COULD_NOT_RUN)
    if not d.ever_ready:
        print("could not run: no VM was ever ready")
        sys.exit(COULD_NOT_RUN)
    for text in d.failures[:5]:
        print(text)
    print(f"{len(d.failures)} times broken; see record.txt")
    sys.exit(BROKEN if d.failures else HELD)
