"""Packets and new flows a second, and instructions for each packet, beside
a bare UDP relay in the same run; and the cost of the lines that log the
decisions on a new flow."""

import json
import re
import shutil
import subprocess
import time

from cluster import Process, wait_until
from experiment import median

DESCRIPTION = "the forwarder passes 0.8 of the packets of a bare relay"
POLICIES = ("ticket", "tracked", "hash")

BOUND = 0.8
FLOWS = 256

# Packets of one run of the forwarder or of the relay.  The speed of a virtual
# processor changes within seconds by up to a factor of two, so the two
# alternate in runs of a few tenths of a second.
RUN_PACKETS = 50000

# New flows of one measurement: fewer than the opens that a VM remembers
# (65,536), and of the same number with and without lines.
OPENS = 20000


def service(policy):
    return [{"name": "dispatch", "upstreams": 1, "binding": policy,
             "slots": 1000, "connections": 60000, "open_rate": 1000000,
             "slow_start_ms": 1}]


class Path:
    """One entry VM, and a relay to the same upstream address."""

    def __init__(self, c, policy):
        self.c = c
        self.mode = "data" if policy == "ticket" else "opaque"
        self.sink = c.upstream_address("dispatch", 0)
        self.callers = 0

    def caller(self):
        """Another address for each run: a VM answers the repeated OPEN of a
        connection id without a decision."""
        self.callers += 1
        return f"127.{self.c.block}.200.{self.callers}:4000"

    def argv(self, target, mode, *more):
        return [str(a) for a in (
            self.c.program("standin-blast"), "--target", target, "--return",
            self.c.return_address, "--sink", self.sink, "--service",
            self.c.services["dispatch"]["address"], "--caller", self.caller(),
            "--mode", mode, "--flows", FLOWS, *more)]

    def blast(self, target, mode, *more, seconds=120):
        """Runs the generator once; returns its figures."""
        done = subprocess.run(self.argv(target, mode, *more),
                              capture_output=True, text=True, check=False,
                              timeout=seconds)
        if done.returncode != 0:
            raise RuntimeError(f"standin-blast {mode} to {target}: status "
                               f"{done.returncode}: {done.stderr.strip()}")
        return json.loads(done.stdout)


def without_lines(vm):
    """Switches the lines of decisions off in the settings of VM."""
    text = vm.settings.read_text()
    vm.settings.write_text(text.replace("decisions: true",
                                        "decisions: false"))


def start(c):
    without_lines(c.vms[1])
    c.start_store()
    c.start_entry_vms()
    c.configure()
    c.wait_in_force()
    relay = f"127.{c.block}.0.5:7000"
    c.start_relay("bare", "udp",
                  {relay: c.upstream_address("dispatch", 0)})
    return relay


def compare(x, path, relay, rounds):
    """Alternates forwarder and relay, so that noise meets both."""
    vm = path.c.vms[0].data
    rates = {"forwarder": [], "relay": []}
    for _ in range(rounds):
        rates["forwarder"].append(
            path.blast(vm, path.mode, "--count", RUN_PACKETS)["per_second"])
        rates["relay"].append(
            path.blast(relay, "opaque", "--count", RUN_PACKETS)["per_second"])
    x.figures["packets_per_second"] = round(median(rates["forwarder"]))
    x.figures["relay_packets_per_second"] = round(median(rates["relay"]))
    x.figures["ratio_to_relay"] = round(median(
        [f / r for f, r in zip(rates["forwarder"], rates["relay"])]), 3)


def compare_lines(x, path, rounds):
    """Alternates two VMs, one with lines of decisions and one without.  Runs
    after the packets: flows whose CLOSE is lost use up the upstream's
    connections."""
    rates = {"lines": [], "none": []}
    for _ in range(rounds):
        for vm, name in zip(path.c.vms, rates):
            rates[name].append(path.blast(vm.data, "open", "--count",
                                          OPENS)["per_second"])
    x.figures["new_flows_per_second"] = round(median(rates["lines"]))
    x.figures["new_flows_per_second_without_lines"] = round(
        median(rates["none"]))
    x.figures["lines_ratio_of_new_flows"] = round(median(
        [a / b for a, b in zip(rates["lines"], rates["none"])]), 3)


def collected(process):
    """Instructions that callgrind counted in a process that ended."""
    found = re.findall(r"Collected : (\d+)", process.log())
    if not found:
        raise RuntimeError(f"{process.name}: callgrind gave no count")
    return int(found[-1])


def callgrind(c, name):
    return ["valgrind", "--tool=callgrind",
            f"--callgrind-out-file={c.folder}/{name}.callgrind"]


def instructions(x, policy, count, which, mode=None, lines=True):
    """Instructions of one run with COUNT packets."""
    with x.cluster(services=service(policy), vms=1, data_centres=1,
                   decisions=lines, log_level="info") as c:
        path = Path(c, policy)
        if which == "relay":
            argv = [*callgrind(c, which), c.program("standin-relay"),
                    "--proto", "udp", "--listen",
                    f"127.{c.block}.0.5:7000={path.sink}"]
            target, mode = f"127.{c.block}.0.5:7000", "opaque"
            process = Process(which, argv, c.logs).start()
            c.processes.append(process)
            time.sleep(3)
        else:
            vm = c.vms[0]
            c.start_store()
            argv = [*callgrind(c, which), c.program("amaranth-forwarder"),
                    "--settings", vm.settings]
            process = Process(which, argv, c.logs).start()
            c.processes.append(process)
            vm.forwarder = process
            c.start_agent(vm)
            wait_until(lambda: reachable(c, vm), 20, "agent", 0.2)
            c.configure()
            c.wait_in_force(seconds=30)
            target, mode = vm.data, mode or path.mode
        path.blast(target, mode, "--count", count, "--window", 32)
        process.stop(60)
        return collected(process)


def reachable(c, vm):
    try:
        c.status(vm)
        return True
    except OSError:
        return False


def count_instructions(x, policy):
    """Difference of two runs: start and stop cancel out."""
    few, many = 4000, 24000
    for which in ("forwarder", "relay"):
        low = instructions(x, policy, few, which)
        high = instructions(x, policy, many, which)
        x.figures[f"{which}_instructions_per_packet"] = round(
            (high - low) / (many - few))
    x.figures["instructions_ratio"] = round(
        x.figures["forwarder_instructions_per_packet"]
        / max(1, x.figures["relay_instructions_per_packet"]), 3)


def count_line_instructions(x, policy):
    """The same for new flows, with and without lines of decisions."""
    few, many = 2000, 8000
    each = {}
    for lines in (True, False):
        low = instructions(x, policy, few, "open", "open", lines)
        high = instructions(x, policy, many, "open", "open", lines)
        each[lines] = (high - low) / (many - few)
    x.figures["instructions_per_new_flow"] = round(each[True])
    x.figures["instructions_per_new_flow_without_lines"] = round(each[False])
    x.figures["lines_ratio_of_instructions"] = round(
        each[True] / max(1, each[False]), 3)


def run(x):
    with x.cluster(services=service(x.policy), vms=2, data_centres=1,
                   decisions=True, log_level="info") as c:
        relay = start(c)
        path = Path(c, x.policy)
        compare(x, path, relay, x.pick(81, 41))
        if path.mode == "data":
            compare_lines(x, path, x.pick(7, 3))
    x.bound("ratio_to_relay", ">=", BOUND)
    if not x.small and shutil.which("valgrind"):
        count_instructions(x, x.policy)
        if x.policy == "ticket":
            count_line_instructions(x, x.policy)
    return x.result()
