"""Frame of the experiments: options, bounds, operators and polling.

An experiment is a module scripts/experiments/NAME.py with

    DESCRIPTION   one line
    POLICIES      the names that --policy takes; the first is the default.
                  A name of a baseline measures it beside the product.
    run(x)        does the work with x, an Experiment, and returns x.result()
"""

import bisect
import contextlib
import fcntl
import json
import operator
import os
import pathlib
import shutil
import statistics
import sys
import tempfile
import threading
import time

import wire
from cluster import ROOT, Cluster, now_us, wait_until
from poller import Poller

sys.path.append(str(ROOT / "test" / "lib"))
from partition_env import partition_environment  # noqa: E402

OPERATORS = {"<=": operator.le, ">=": operator.ge, "==": operator.eq}

# Address blocks 127.N.0.0/16 of experiments and of integration tests.  Each
# run takes a free one, so that runs of several worktrees do not meet.
EXPERIMENT_BLOCKS = range(95, 100)
TEST_BLOCKS = range(84, 95)

# Longest time until a fresh cluster has its first configuration in force.
READY_SECONDS = 30

# Pause between two looks at the revisions in force.  It adds to the spread
# time that is measured.
POLL_SECONDS = 0.25


class Experiment:
    """One run: its options, folder, clusters, figures and bounds."""

    def __init__(self, name, options, policy):
        self.name = name
        self.seed = options.seed
        self.policy = policy
        self.small = options.small
        self.size = options.size
        self.options = options
        self.figures = {}
        self.bounds = []
        self.violations = []
        self.runs = 0
        base = ROOT / "run" / "experiments"
        base.mkdir(parents=True, exist_ok=True)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix=f"{name}-",
                                                    dir=base))

    # ---- options ---------------------------------------------------------

    def seconds(self, full, small):
        """Length of the run: --seconds, or SMALL with --small, else FULL."""
        if self.options.seconds is not None:
            return self.options.seconds
        return small if self.small else full

    def pick(self, full, small):
        """FULL, or SMALL with --small."""
        return small if self.small else full

    def variants(self, products, baselines):
        """What the run measures: the product's policy, and the names of the
        baselines beside it.  These are all of them, or the one that --policy
        names; the short form has none unless it is named."""
        if self.policy in products:
            return self.policy, ([] if self.small else [*baselines])
        return products[0], [self.policy]

    def compare(self, figure, baseline):
        """Adds the ratio of a figure to that of a baseline (prefix NAME_) in
        the same run; none if the baseline's is 0."""
        mine = self.figures[figure]
        other = self.figures[f"{baseline}_{figure}"]
        if other:
            self.figures[f"{figure}_ratio_to_{baseline}"] = round(
                mine / other, 4)

    def say(self, text):
        print(f"{self.name}: {text}", file=sys.stderr, flush=True)

    # ---- clusters --------------------------------------------------------

    @contextlib.contextmanager
    def cluster(self, **arguments):
        """A ProofCluster in a folder of its own."""
        self.runs += 1
        arguments.setdefault("blocks", EXPERIMENT_BLOCKS)
        arguments.setdefault("seed", self.seed)
        arguments.setdefault("log_level", "warning")
        with ProofCluster(self.folder / f"run-{self.runs}",
                          **arguments) as c:
            yield c

    def check(self, c, prefix="", promises=True):
        """Runs history-check on the histories of C.  Adds broken promises to
        the violations and returns the figures."""
        report = read_check(c.history_check())
        if promises:
            for p in report["promises"]:
                self.violations += [f"{prefix}{p['name']}: {v}"
                                    for v in p["named"]]
            self.figures[prefix + "violations"] = sum(
                p["violations"] for p in report["promises"])
            self.bounds.append((prefix + "violations", "==", 0))
        return report["figures"]

    def keep(self, figures, *names, prefix=""):
        """Copies the named figures into the result."""
        for name in names:
            self.figures[prefix + name] = figures[name]

    def bound(self, figure, op, limit):
        """Names a bound that the figure has to meet."""
        self.bounds.append((figure, op, limit))

    # ---- result ----------------------------------------------------------

    def result(self):
        bounds, passed = [], bool(self.bounds)
        for figure, op, limit in self.bounds:
            value = self.figures.get(figure)
            holds = value is not None and OPERATORS[op](value, limit)
            passed = passed and holds
            bounds.append({"figure": figure, "bound": f"{op} {limit}",
                           "value": value, "holds": holds})
        return {"name": self.name, "seed": self.seed, "policy": self.policy,
                "pass": passed, "bound": bounds, "figures": self.figures,
                "violations": self.violations[:10]}

    def clean(self, passed):
        """Removes the folder of a run that passed."""
        if passed and not self.options.keep:
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            self.say(f"files kept in {self.folder.relative_to(ROOT)}")


def read_check(done):
    """The report of history-check."""
    if done.returncode not in (0, 1):
        raise RuntimeError(f"history-check: status {done.returncode}: "
                           f"{done.stderr.strip()}")
    return json.loads(done.stdout.strip().splitlines()[-1])


def lock_block(blocks):
    """Waits for a free address block.  Returns its number and the file whose
    lock keeps it until it is closed."""
    base = pathlib.Path(tempfile.gettempdir())
    while True:
        for block in blocks:
            held = open(base / f"amaranthcroft-block-{block}.lock", "a",
                        encoding="ascii")
            try:
                fcntl.flock(held, fcntl.LOCK_EX | fcntl.LOCK_NB)
                return block, held
            except OSError:
                held.close()
        time.sleep(0.2)


class ProofCluster(Cluster):
    """A Cluster with operators that write down what they did and see."""

    def __init__(self, folder, blocks, cut=False, alert_ms=1000, **arguments):
        """blocks: address blocks to choose from.  cut: forwarders and agents
        are started so that cut() works.  alert_ms: interval of the alerts on
        each feed."""
        block, self.block_lock = lock_block(blocks)
        super().__init__(folder, block=block, **arguments)
        self.alert_ms = alert_ms
        self.key = wire.read_key(self.key_file)
        self.poller = None
        self.cut_file = self.folder / "cut" if cut else None
        self.lock = threading.Lock()
        self.write_us = 0

    def upstream_address(self, service, index, real=False):
        """As in Cluster for the first 50 services; the others differ by
        their port."""
        number = self.services[service]["number"]
        if number < 50:
            return super().upstream_address(service, index, real)
        return (f"127.{self.block}.{100 + number % 50}.{index + 1}:"
                f"{9000 + number // 50}")

    def stop(self):
        if self.poller:
            self.poller.stop()
            self.poller = None
        try:
            return super().stop()
        finally:
            self.block_lock.close()

    # ---- partition -------------------------------------------------------

    def cut(self, pairs):
        """Separates the address prefixes of each pair; [] heals."""
        new = self.cut_file.with_suffix(".new")
        new.write_text("".join(f"{a} {b}\n" for a, b in pairs))
        new.rename(self.cut_file)

    def spawn_on(self, vm, start):
        """Calls start(vm) with the partition preloaded."""
        if not self.cut_file:
            return start(vm)
        added = partition_environment(self.build, self.cut_file, vm.address)
        before = {k: os.environ.get(k) for k in added}
        os.environ.update(added)
        try:
            return start(vm)
        finally:
            for k, v in before.items():
                if v is None:
                    del os.environ[k]
                else:
                    os.environ[k] = v

    def start_upstreams(self, arguments=(), records=None):
        """As in Cluster, with alerts on every feed."""
        arguments = [*arguments]
        if "--alert-ms" not in arguments:
            arguments += ["--alert-ms", self.alert_ms]
        super().start_upstreams(arguments, records)

    def start_forwarder(self, vm):
        return self.spawn_on(vm, super().start_forwarder)

    def start_agent(self, vm):
        return self.spawn_on(vm, super().start_agent)

    # ---- start -----------------------------------------------------------

    def start(self, platform=None, configure=True):
        """Starts everything and waits until the records are in force."""
        self.start_platform(**(platform or {}))
        self.start_entry_vms()
        if configure:
            self.configure()
            self.wait_in_force()

    def status(self, vm):
        """Status of the agent of VM."""
        agent = wire.Agent(self.key, vm.agent_address)
        try:
            return agent.status()
        finally:
            agent.close()

    def in_force_on(self, vm, wanted):
        """True if VM has at least the WANTED revisions in force."""
        try:
            have = self.status(vm)["in_force"]
        except OSError:
            return False
        return all(have.get(n, -1) >= r for n, r in wanted.items())

    def wait_in_force(self, vms=None, seconds=READY_SECONDS):
        """Waits until every VM has what the store holds in force."""
        wanted = self.revisions()
        for vm in vms or self.vms:
            wait_until(lambda vm=vm: self.in_force_on(vm, wanted), seconds,
                       f"records in force on {vm.name}", 0.1)

    def revisions(self):
        """{record: revision} of the store."""
        return {n: r["revision"] for n, r in self.store_records().items()}

    def poll(self, seconds=POLL_SECONDS, names=None):
        """Starts to write down what is in force on each VM."""
        self.poller = Poller(self, seconds, names)
        return self.poller

    # ---- operators -------------------------------------------------------

    def write(self, *command, vm=None, check=True, seconds=30):
        """A command of amaranthctl that writes and does not wait until the
        record is in force.  Returns the CompletedProcess; begun_us is the
        time before it, which is the earliest that the write was accepted."""
        begun = now_us()
        done = self.ctl(*command, "--no-wait", vm=vm, check=check,
                        seconds=seconds)
        done.begun_us = begun
        return done

    def apply(self, service, vm=None, check=True, **changes):
        """Changes fields of the service's record, applies it, and writes the
        accepted revision down.  Returns the CompletedProcess."""
        self.services[service].update(changes)
        self.write_record(service, len({v.data_centre for v in self.vms}))
        done = self.write("apply", self.records / f"{service}.yaml", vm=vm,
                          check=check)
        if done.returncode == 0:
            self.accepted(service, done)
        return done

    def accepted(self, record, done):
        """Writes down the revision of RECORD that the store now holds."""
        revision = self.revisions()[record]
        self.note_write(done, "config", record=record, revision=revision)
        return revision

    def note_write(self, done, event, **fields):
        """Adds a line with the time of a write, in a history of its own: it
        may lie before that of other lines of the operators."""
        with self.lock:
            self.write_us = max(self.write_us, done.begun_us)
            line = {"t": self.write_us, "who": "operator", "ev": event,
                    **fields}
            with open(self.history / "write.jsonl", "a",
                      encoding="utf-8") as out:
                out.write(json.dumps(line) + "\n")

    def leave(self, service, upstream):
        """Marks an upstream as leaving."""
        return self.set_state(service, upstream, "leaving")

    def set_state(self, service, upstream, state):
        """Marks an upstream as active or leaving."""
        self.services[service].setdefault("states", {})[upstream] = state
        command = "leave" if state == "leaving" else "join"
        done = self.write("upstream", command, service, upstream)
        event = "leaving" if state == "leaving" else "joining"
        self.note_write(done, event, service=service, upstream=upstream)
        self.accepted(service, done)
        return done

    # ---- entry VMs -------------------------------------------------------

    def start_vm(self, vm):
        super().start_vm(vm)
        self.note("started", vm=vm.name)

    def live(self):
        """Entry VMs whose forwarder runs."""
        return [vm for vm in self.vms if vm.forwarder.running()]


# ---- figures from histories ----------------------------------------------


def percentile(values, share):
    """Value below which SHARE (0 to 1) of the values lie."""
    if not values:
        return 0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def median(values):
    return statistics.median(values) if values else 0


def max_over_mean(counts):
    """Imbalance: the largest count over the mean."""
    mean = sum(counts) / len(counts) if counts else 0
    return round(max(counts) / mean, 4) if mean else 0


def open_flows(events, upstreams, at_us):
    """Open flows of each of the upstreams at a time."""
    holders = {name: set() for name in upstreams}
    for e in events:
        if e["t"] > at_us:
            break
        if e["ev"] == "flow_open" and e["upstream"] in holders:
            holders[e["upstream"]].add(e["flow"])
        elif e["ev"] == "flow_close" and e["upstream"] in holders:
            holders[e["upstream"]].discard(e["flow"])
    return {name: len(flows) for name, flows in holders.items()}


def busy_time(events, upstreams, from_us, to_us):
    """Time that each upstream's slots were busy in a window, in seconds."""
    busy = dict.fromkeys(upstreams, 0.0)
    begun = {}
    for e in events:
        if e["ev"] == "run":
            begun[e["upstream"], e["req"]] = e["t"]
        elif e["ev"] == "done" and e["upstream"] in busy:
            start = begun.pop((e["upstream"], e["req"]), e["t"])
            part = min(e["t"], to_us) - max(start, from_us)
            busy[e["upstream"]] += max(0, part) / 1e6
    return busy


def latencies(events):
    """[(sent, answered)] of requests that were answered, microseconds."""
    sent, found = {}, []
    for e in events:
        if e["ev"] == "request":
            sent[e["req"]] = e["t"]
        elif e["ev"] == "answer" and e["req"] in sent:
            found.append((sent[e["req"]], e["t"]))
    return found


def per_second(times, from_us, to_us):
    """Counts of the events at sorted times in each second of a window."""
    return [bisect.bisect_left(times, t + 1_000_000)
            - bisect.bisect_left(times, t)
            for t in range(from_us, to_us, 1_000_000)]


def sleep_until(start, seconds):
    """Sleeps until SECONDS after START (time.monotonic)."""
    time.sleep(max(0.0, start + seconds - time.monotonic()))
