"""Starts and steers one set of amaranthcroft processes and their stand-ins.

A Cluster owns a folder with settings, records, the peer key, logs and
histories, and every process it starts.  It ends only those processes, by pid.

    with Cluster(folder, block=80, vms=7, data_centres=3) as c:
        c.start_platform()          # store, upstreams, fabric
        c.start_entry_vms()         # forwarders and agents
        c.configure()               # ticket keys and records
        caller = c.start_caller("feeds", ["--flows", "dispatch:100",
                                          "--seconds", "20"])
        c.rolling_restart()
        c.ctl("upstream", "leave", "dispatch", "dispatch-3")
        print(caller.summary())

Addresses of block B (so that runs with different blocks do not collide):

    127.B.0.1:7900       fabric, return address      127.B.0.1:7901  control
    127.B.0.2:8500       store
    127.B.0.D0:8500      store relay of data centre D (store_relays=True)
    127.B.0.3:7901       upstreams, control
    127.B.0.4:79xx       relays, control
    127.B.1.S:800S       service S (1, 2, ...)
    127.B.(10+D).N       entry VM N of data centre D, default ports
    127.B.(20+D).N:7000  fabric relay in front of it (fabric_relays=True)
    127.B.(100+S).N:9000 upstream N of service S as in its record
    127.B.(150+S).N:9000 its socket if upstream relays stand in between

A caller process sends from 127.B.(200+i).0, one for each caller started.
"""

import copy
import json
import os
import pathlib
import re
import secrets
import signal
import socket
import subprocess
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]

# Longest time a graceful shutdown may take: drain, use window and linger of
# an entry VM are about 2 s, running requests up to their deadline.
STOP_SECONDS = 45

# Lag of the fabric's own health check: it notices a forwarder that has gone
# or come this long after the fact.
FABRIC_LAG_SECONDS = 0.1

STIKLSETAS = [
    {"name": "dispatch", "upstreams": 15, "objective": "broken_flows",
     "classes": [{"id": 0, "name": "order", "kind": "one_time", "weight": 2,
                  "priority": 0, "deadline_ms": 5000, "queue_limit": 64}]},
    {"name": "archive", "upstreams": 5, "schema": 1, "request": "repeatable",
     "deadline_ms": 10000},
]

KORTRIJKSE = [
    {"name": "booking", "upstreams": 15, "objective": "imbalance",
     "classes": [{"id": 0, "name": "reservation", "kind": "one_time",
                  "weight": 2, "priority": 0, "deadline_ms": 5000,
                  "queue_limit": 64}]},
    {"name": "invoice", "upstreams": 5, "schema": 1, "request": "repeatable",
     "deadline_ms": 30000},
]


def now_us():
    """Microseconds of CLOCK_MONOTONIC, the clock of the histories."""
    return time.clock_gettime_ns(time.CLOCK_MONOTONIC) // 1000


def wait_until(condition, seconds, what, step=0.05):
    """Waits until condition() is true; raises TimeoutError after seconds."""
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            raise TimeoutError(f"{what}: not within {seconds} s")
        time.sleep(step)


def control(address, command, seconds=2.0):
    """Sends one command to a control port "IP:PORT"; returns the JSON.  Raises
    ValueError if the stand-in refuses the command, so that a fault which is
    not brought about does not pass unnoticed."""
    ip, port = address.split(":")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as s:
        s.settimeout(seconds)
        s.connect((ip, int(port)))
        s.send(command.encode())
        reply = json.loads(s.recv(65536))
    if "error" in reply:
        raise ValueError(f"{address}: {command}: {reply['error']}")
    return reply


class Process:
    """One process with its own log files; started and ended by pid."""

    def __init__(self, name, argv, folder):
        self.name = name
        self.argv = [str(a) for a in argv]
        self.out = pathlib.Path(folder) / f"{name}.out"
        self.err = pathlib.Path(folder) / f"{name}.log"
        self.child = None

    def start(self):
        with open(self.out, "ab") as out, open(self.err, "ab") as err:
            self.child = subprocess.Popen(self.argv, stdout=out, stderr=err,
                                          stdin=subprocess.DEVNULL)
        return self

    @property
    def pid(self):
        return self.child.pid if self.child else None

    def running(self):
        return self.child is not None and self.child.poll() is None

    def signal(self, number):
        if self.running():
            self.child.send_signal(number)

    def wait(self, seconds):
        """Waits for the end; returns the exit status."""
        return self.child.wait(seconds)

    def stop(self, seconds=STOP_SECONDS):
        """SIGTERM, then waits; returns the exit status.  A process that does
        not end in time is killed and TimeoutError raised."""
        if not self.child:
            return None
        self.signal(signal.SIGTERM)
        try:
            return self.child.wait(seconds)
        except subprocess.TimeoutExpired:
            self.kill()
            raise TimeoutError(f"{self.name} did not stop in {seconds} s")

    def kill(self):
        """SIGKILL and wait."""
        if self.running():
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
        if self.child:
            self.child.wait()

    def pause(self):
        self.signal(signal.SIGSTOP)

    def resume(self):
        self.signal(signal.SIGCONT)

    def log(self):
        return self.err.read_text(errors="replace")

    def summary(self):
        """The JSON object on the last line of standard output, or None."""
        lines = self.out.read_text(errors="replace").strip().splitlines()
        try:
            return json.loads(lines[-1]) if lines else None
        except json.JSONDecodeError:
            return None


class EntryVM:
    """Forwarder and agent of one entry VM; either can be steered alone."""

    def __init__(self, number, name, data_centre, address, settings):
        self.id = number
        self.name = name
        self.data_centre = data_centre
        self.address = address
        self.settings = settings
        self.forwarder = None
        self.agent = None

    @property
    def data(self):
        return f"{self.address}:7000"

    @property
    def agent_address(self):
        return f"{self.address}:7101"


class Cluster:
    """Settings, processes and control of one run."""

    def __init__(self, folder, block=80, vms=7, data_centres=3,
                 services=None, region="lv-central", example=None,
                 build=None, seed=1, decisions=False, log_level="info",
                 store_relays=False, fabric_relays=False,
                 upstream_relays=False):
        """Makes FOLDER and writes settings, records and the peer key.

        services: list of dicts as STIKLSETAS above (copied); each may have
          name, upstreams (count), schema, binding, objective, policy,
          classes, request, deadline_ms, slots, connections, weights,
          ping_interval_ms, misses, slow_start_ms, open_rate, retry_budget,
          lending.
        example: folder such as examples/stiklsetas; its settings, records
          and addresses are used and block, vms and services are ignored.
        store_relays: one TCP relay per data centre before the store, named
          "store-DC"; fabric_relays: a UDP relay before each forwarder, all
          in the process "fabric-relay"; upstream_relays: relays "udp-relay"
          and "tcp-relay" before all upstreams; a number above 1 shares the
          upstreams out over "tcp-relay-1" and so on.  See relay().
        """
        self.folder = pathlib.Path(folder)
        self.build = pathlib.Path(build or os.environ.get(
            "AM_BUILD", ROOT / "build"))
        self.block = block
        self.seed = seed
        self.region = region
        self.decisions = decisions
        self.log_level = log_level
        self.processes = []
        self.vms = []
        self.callers = []
        self.relays = {}
        self.services = {}
        self.upstream_control = f"127.{block}.0.3:7901"
        self.fabric_control = f"127.{block}.0.1:7901"
        self.return_address = f"127.{block}.0.1:7900"
        self.store_address = f"127.{block}.0.2:8500"
        self.store_relays = store_relays
        self.fabric_relays = fabric_relays
        self.upstream_relays = upstream_relays
        self.store = self.fabric = self.upstreams = None
        self.records = self.folder / "records"
        self.upstream_records = self.folder / "upstream-records"
        self.history = self.folder / "history"
        self.logs = self.folder / "logs"
        for path in (self.records, self.upstream_records, self.history,
                     self.logs):
            path.mkdir(parents=True, exist_ok=True)
        self.operator_history = self.history / "operator.jsonl"
        self.key_file = self.folder / "peer.key"
        if not self.key_file.exists():
            descriptor = os.open(self.key_file,
                                 os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
            os.write(descriptor, (secrets.token_hex(32) + "\n").encode())
            os.close(descriptor)
        if example:
            self._read_example(pathlib.Path(example))
        else:
            self._make_services(copy.deepcopy(services or STIKLSETAS),
                                data_centres)
            self._make_vms(vms, data_centres)

    # ---- settings and records -------------------------------------------

    def _read_example(self, example):
        """Copies settings and records of an example folder."""
        for path in sorted((example / "records").glob("*.yaml")):
            text = path.read_text()
            name = re.search(r"^name: *(\S+)", text, re.M).group(1)
            address = re.search(r"^address: *(\S+)", text, re.M).group(1)
            names = re.findall(r"- name: *(%s-\d+)" % re.escape(name), text)
            self.services[name] = {"name": name, "address": address,
                                   "upstream_names": names}
            (self.records / path.name).write_text(text)
            (self.upstream_records / path.name).write_text(text)
        for path in sorted(example.glob("vm-*.yaml")):
            text = path.read_text()
            settings = self.folder / path.name
            settings.write_text(text)
            field = dict(re.findall(
                r"^ +(id|name|data_centre|address|return_address|url): *(\S+)",
                text, re.M))
            self.return_address = field["return_address"]
            self.store_address = field["url"].split("//")[1]
            self.vms.append(EntryVM(int(field["id"]), field["name"],
                                    field["data_centre"], field["address"],
                                    settings))
        self.fabric_control = self.return_address.split(":")[0] + ":7901"
        self.upstream_control = self.store_address.split(":")[0] + ":7902"

    def data_centre_name(self, index):
        return f"{self.region.split('-')[0]}-{chr(ord('a') + index)}"

    def _make_services(self, services, data_centres):
        for number, spec in enumerate(services, 1):
            name = spec["name"]
            spec.setdefault("address",
                            f"127.{self.block}.1.{number}:{8000 + number}")
            spec["number"] = number
            spec["upstream_names"] = [f"{name}-{i + 1}"
                                      for i in range(spec["upstreams"])]
            self.services[name] = spec
            self.write_record(name, data_centres)

    def upstream_address(self, service, index, real=False):
        """Address of upstream INDEX (0, 1, ...); real: of its socket."""
        base = 150 if real and self.upstream_relays else 100
        number = self.services[service]["number"]
        return f"127.{self.block}.{base + number}.{index + 1}:9000"

    def write_record(self, service, data_centres=3):
        """Writes the record of SERVICE from self.services[service]."""
        spec = self.services[service]
        for folder, real in ((self.records, False),
                             (self.upstream_records, True)):
            (folder / f"{service}.yaml").write_text(
                self._record_text(spec, data_centres, real))

    def _record_text(self, spec, data_centres, real):
        schema = spec.get("schema", 2)
        lines = [f"schema: {schema}", "kind: service",
                 f"name: {spec['name']}", f"region: {spec.get('region', self.region)}",
                 f"address: {spec['address']}"]
        if schema == 1:
            lines += [f"request: {spec.get('request', 'repeatable')}",
                      f"deadline_ms: {spec.get('deadline_ms', 10000)}"]
        else:
            lines += [f"binding: {spec.get('binding', 'ticket')}",
                      f"objective: {spec.get('objective', 'broken_flows')}",
                      f"policy: {spec.get('policy', 'local')}",
                      "liveness:",
                      f"  ping_interval_ms: {spec.get('ping_interval_ms', 1000)}",
                      f"  misses: {spec.get('misses', 3)}",
                      f"slow_start_ms: {spec.get('slow_start_ms', 10000)}",
                      f"open_rate: {spec.get('open_rate', 200)}",
                      f"retry_budget: {spec.get('retry_budget', 10)}",
                      f"lending: {spec.get('lending', 'on')}"]
            if spec.get("classes"):
                lines.append("classes:")
            for entry in spec.get("classes", []):
                for i, (key, value) in enumerate(entry.items()):
                    lines.append(f"  {'- ' if i == 0 else '  '}{key}: {value}")
        lines.append("upstreams:")
        states = spec.get("states", {})
        for i, name in enumerate(spec["upstream_names"]):
            lines += [f"  - name: {name}",
                      f"    address: "
                      f"{self.upstream_address(spec['name'], i, real)}",
                      f"    data_centre: "
                      f"{self.data_centre_name(i % data_centres)}",
                      f"    incarnation: {spec.get('incarnation', 1)}",
                      f"    state: {states.get(name, 'active')}",
                      f"    slots: {spec.get('slots', 2)}",
                      f"    connections: {spec.get('connections', 2000)}"]
            if schema == 2:
                weight = spec.get("weights", {}).get(name, 100)
                lines.append(f"    weight: {weight}")
        return "\n".join(lines) + "\n"

    def _make_vms(self, count, data_centres):
        for i in range(count):
            d = i % data_centres
            address = f"127.{self.block}.{11 + d}.{i // data_centres + 1}"
            name = f"{self.data_centre_name(d)}-{i // data_centres + 1}"
            self.vms.append(EntryVM(i + 1, name, self.data_centre_name(d),
                                    address, self.folder / f"vm-{i + 1}.yaml"))
        for vm in self.vms:
            self.write_settings(vm)

    def store_relay_address(self, data_centre):
        index = ord(data_centre[-1]) - ord("a") + 1
        return f"127.{self.block}.0.{index}0:8500"

    def fabric_relay_address(self, vm):
        a, b, c, d = vm.address.split(".")
        return f"{a}.{b}.{int(c) + 10}.{d}:7000"

    def write_settings(self, vm, seeds=3):
        """Writes the settings file of VM; seeds are other entry VMs."""
        store = (self.store_relay_address(vm.data_centre)
                 if self.store_relays else self.store_address)
        others = [o for o in self.vms if o is not vm][:seeds]
        lines = ["vm:", f"  id: {vm.id}", f"  name: {vm.name}",
                 f"  region: {self.region}",
                 f"  data_centre: {vm.data_centre}",
                 f"  address: {vm.address}",
                 "fabric:", f"  return_address: {self.return_address}",
                 "store:", f"  url: http://{store}", "  timeout_ms: 10000",
                 "peers:", "  key_file: peer.key"]
        if others:
            lines.append("  seeds:")
            lines += [f"    - {o.address}:7100" for o in others]
        lines += ["log:", f"  level: {self.log_level}",
                  f"  decisions: {'true' if self.decisions else 'false'}"]
        vm.settings.write_text("\n".join(lines) + "\n")

    # ---- processes -------------------------------------------------------

    def program(self, name):
        """Path of a program of the build."""
        for folder in (self.build, self.build / "standin"):
            if (folder / name).exists():
                return folder / name
        raise FileNotFoundError(f"{name} is not in {self.build}")

    def spawn(self, name, argv):
        """Starts a process that the cluster ends at the latest in stop()."""
        process = Process(name, argv, self.logs).start()
        self.processes.append(process)
        return process

    def start_store(self, arguments=()):
        self.store = self.spawn("store", [
            self.program("standin-store"), "--listen", self.store_address,
            *arguments])
        wait_until(lambda: self._store_up(), 10, "store")
        if self.store_relays:
            for dc in sorted({vm.data_centre for vm in self.vms}):
                self.start_relay(f"store-{dc}", "tcp", {
                    self.store_relay_address(dc): self.store_address})

    def _store_up(self):
        try:
            self.store_get("/standin/counts")
            return True
        except (OSError, ValueError):
            return False

    def store_get(self, path):
        """GET of a path of the store; returns the JSON."""
        with urllib.request.urlopen(f"http://{self.store_address}{path}",
                                    timeout=5) as answer:
            return json.load(answer)

    def store_put(self, path, value):
        """PUT of a JSON value to a path of the store; returns the JSON."""
        request = urllib.request.Request(
            f"http://{self.store_address}{path}", method="PUT",
            data=json.dumps(value).encode())
        with urllib.request.urlopen(request, timeout=5) as answer:
            return json.load(answer)

    def store_fault(self, **fault):
        """PUT /standin/fault: outage_ms, delay_ms, lose_answers,
        lose_requests, snapshot, restore."""
        return self.store_put("/standin/fault", fault)

    def publish_vms(self, leaving=()):
        """Gives the platform's list of VMs, which lags (--vm-list-lag-ms);
        LEAVING are names of VMs listed as leaving."""
        return self.store_put("/standin/vms", [
            {"id": vm.id, "name": vm.name, "address": vm.address,
             "port": 7100, "data_centre": vm.data_centre,
             "state": "leaving" if vm.name in leaving else "live"}
            for vm in self.vms])

    def start_upstreams(self, arguments=(), records=None):
        """Starts all upstreams in one process; history/upstream.jsonl."""
        argv = [self.program("standin-upstream")]
        for path in records or sorted(self.upstream_records.glob("*.yaml")):
            argv += ["--record", path]
        argv += ["--history", self.history / "upstream.jsonl", "--seed",
                 self.seed, "--control", self.upstream_control, *arguments]
        self.upstreams = self.spawn("upstreams", argv)
        self._wait_control(self.upstream_control, "upstreams")
        if self.upstream_relays:
            targets = {self.upstream_address(s, i):
                       self.upstream_address(s, i, real=True)
                       for s, spec in self.services.items()
                       for i in range(len(spec["upstream_names"]))}
            self.start_relay("udp-relay", "udp", targets)
            groups = int(self.upstream_relays)
            for i in range(groups):
                name = "tcp-relay" if groups == 1 else f"tcp-relay-{i + 1}"
                self.start_relay(name, "tcp",
                                 dict(list(targets.items())[i::groups]))

    def start_fabric(self, arguments=()):
        argv = [self.program("standin-fabric"), "--return",
                self.return_address, "--control", self.fabric_control,
                "--seed", self.seed]
        for spec in self.services.values():
            argv += ["--service", spec["address"]]
        for vm in self.vms:
            argv += ["--forwarder", vm.data]
            if self.fabric_relays:
                argv += ["--via", self.fabric_relay_address(vm)]
        self.fabric = self.spawn("fabric", [*argv, *arguments])
        self._wait_control(self.fabric_control, "fabric")
        if self.fabric_relays:
            self.start_relay("fabric-relay", "udp", {
                self.fabric_relay_address(vm): vm.data for vm in self.vms})

    def start_platform(self, upstream_arguments=(), store_arguments=(),
                       fabric_arguments=()):
        """Store, upstreams and fabric."""
        self.start_store(store_arguments)
        self.start_upstreams(upstream_arguments)
        self.start_fabric(fabric_arguments)

    def start_relay(self, name, proto, targets, arguments=()):
        """Starts a relay process for {listen: target}; steer with relay().
        """
        address = f"127.{self.block}.0.4:{7910 + len(self.relays)}"
        argv = [self.program("standin-relay"), "--proto", proto, "--seed",
                self.seed, "--control", address]
        for listen, target in targets.items():
            argv += ["--listen", f"{listen}={target}"]
        process = self.spawn(name, [*argv, *arguments])
        self._wait_control(address, name)
        self.relays[name] = address
        return process

    def _wait_control(self, address, what):
        def answers():
            try:
                control(address, "stats", 0.2)
                return True
            except (OSError, ValueError):
                return False
        wait_until(answers, 10, what)

    def relay(self, name, command):
        """One command to a relay: "loss 0.1", "cut", "silence 50", ..."""
        return control(self.relays[name], command)

    def upstream(self, command):
        """One command to the upstreams: "drain NAME", "stats", ..."""
        return control(self.upstream_control, command)

    def fabric_command(self, command):
        """One command to the fabric: "forwarder remove IP:PORT", ..."""
        return control(self.fabric_control, command)

    def start_forwarder(self, vm):
        vm.forwarder = self.spawn(f"forwarder-{vm.id}", [
            self.program("amaranth-forwarder"), "--settings", vm.settings])
        return vm.forwarder

    def start_agent(self, vm):
        vm.agent = self.spawn(f"agent-{vm.id}", [
            self.program("amaranth-agent"), "--settings", vm.settings])
        return vm.agent

    def start_entry_vms(self):
        """All forwarders and agents."""
        if self.store:
            self.publish_vms()
        for vm in self.vms:
            self.start_forwarder(vm)
            self.start_agent(vm)
        time.sleep(1.0)

    def stop_vm(self, vm):
        """Planned stop: SIGTERM to the forwarder, then the agent; the fabric
        notices once the forwarder has gone."""
        self.note("planned_stop", vm=vm.name)
        status = vm.forwarder.stop()
        time.sleep(FABRIC_LAG_SECONDS)
        self.fabric_command(f"forwarder remove {vm.data}")
        vm.agent.stop()
        self.note("stopped", vm=vm.name, status=status)

    def start_vm(self, vm):
        """Starts both programs; the fabric notices after its lag."""
        self.start_agent(vm)
        self.start_forwarder(vm)
        time.sleep(FABRIC_LAG_SECONDS)
        via = self.fabric_relay_address(vm) if self.fabric_relays else ""
        self.fabric_command(f"forwarder add {vm.data} {via}")

    def kill_vm(self, vm, notice=True):
        """SIGKILL of both programs; notice: the fabric removes it."""
        vm.forwarder.kill()
        self.note("kill", vm=vm.name)
        vm.agent.kill()
        if notice:
            time.sleep(FABRIC_LAG_SECONDS)
            self.fabric_command(f"forwarder remove {vm.data}")

    def pause_vm(self, vm):
        vm.forwarder.pause()
        vm.agent.pause()

    def resume_vm(self, vm):
        vm.forwarder.resume()
        vm.agent.resume()

    def rolling_restart(self, pause=2.0):
        """Stops and starts every entry VM, one after the other."""
        for vm in self.vms:
            self.stop_vm(vm)
            self.start_vm(vm)
            time.sleep(pause)

    def start_caller(self, name, arguments, address=None):
        """Starts a caller process for all services; its history is
        history/NAME.jsonl and its summary process.summary()."""
        number = len(self.callers)
        address = address or f"127.{self.block}.{200 + number % 50}.1"
        argv = [self.program("standin-caller"), "--history",
                self.history / f"{name}.jsonl", "--address", address,
                "--seed", self.seed * 1000 + number]
        for spec in self.services.values():
            binding = spec.get("binding", "ticket")
            form = "ticket" if binding == "ticket" else "opaque"
            argv += ["--service", f"{spec['name']}={spec['address']}:{form}"]
        process = self.spawn(f"caller-{name}", [*argv, *arguments])
        self.callers.append(process)
        return process

    def stop(self):
        """Ends every process of this cluster: callers first, then entry VMs,
        then the platform.  Returns the names of those that had to be killed.
        """
        killed = []
        for process in reversed(self.processes):
            process.resume()
            process.signal(signal.SIGTERM)
        end = time.monotonic() + STOP_SECONDS
        for process in self.processes:
            try:
                process.wait(max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                killed.append(process.name)
        return killed

    def __enter__(self):
        return self

    def __exit__(self, *unused):
        self.stop()

    # ---- operators -------------------------------------------------------

    def ctl(self, *arguments, vm=None, check=True, seconds=30):
        """Runs amaranthctl; returns the subprocess.CompletedProcess."""
        agent = (vm or self.vms[0]).agent_address
        argv = [str(self.program("amaranthctl")), "--store",
                f"http://{self.store_address}", "--peer-key",
                str(self.key_file), "--agent", agent,
                *[str(a) for a in arguments]]
        done = subprocess.run(argv, capture_output=True, text=True,
                              timeout=seconds, check=False)
        if check and done.returncode != 0:
            raise RuntimeError(f"{' '.join(argv)}: status {done.returncode}: "
                               f"{done.stderr.strip()}")
        return done

    def configure(self):
        """Writes ticket keys and all records."""
        self.ctl("keys", "init")
        self.ctl("apply", self.records)

    def leave(self, service, upstream):
        """Marks an upstream as leaving and notes it in the history."""
        before = now_us()
        done = self.ctl("upstream", "leave", service, upstream)
        self.note("leaving", t=before, upstream=upstream, service=service)
        return done

    def store_records(self):
        """Records in the store: {name: JSON object}."""
        import base64
        entries = self.store_get("/v1/kv/amaranth/records/?recurse")
        return {e["Key"].rsplit("/", 1)[1]:
                json.loads(base64.b64decode(e["Value"])) for e in entries}

    # ---- histories -------------------------------------------------------

    def note(self, event, **fields):
        """Adds one line of the operator to history/operator.jsonl."""
        line = {"t": now_us(), "who": "operator", "ev": event, **fields}
        with open(self.operator_history, "a", encoding="utf-8") as out:
            out.write(json.dumps(line) + "\n")

    def histories(self):
        """All history files."""
        return sorted(self.history.glob("*.jsonl"))

    def events(self, *names):
        """Events of all histories with a name in NAMES, by time."""
        found = []
        for path in self.histories():
            with open(path, encoding="utf-8") as lines:
                for line in lines:
                    if names and not any(f'"{n}"' in line for n in names):
                        continue
                    try:
                        event = json.loads(line)
                    except json.JSONDecodeError:
                        continue
                    if not names or event["ev"] in names:
                        found.append(event)
        return sorted(found, key=lambda e: e["t"])

    def history_check(self):
        """Runs history-check; returns the CompletedProcess."""
        return subprocess.run(
            [str(self.program("history-check")),
             *[str(p) for p in self.histories()]],
            capture_output=True, text=True, check=False, timeout=300)
