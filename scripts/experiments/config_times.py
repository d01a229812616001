"""Where the time of a change goes, from the agents' own log lines.

An agent writes the time (CLOCK_MONOTONIC) at which it accepted a version and
at which its forwarder had it in force, so that no poller takes part.  The
processor time of the machine and of each kind of process is taken over the
same span."""

import os
import re
import time

from cluster import now_us
from experiment import median

LINE = re.compile(r"event=config_(accepted|in_force) record=(\S+) "
                  r"revision=(\d+) .*?at_us=(\d+)")
TICKS = os.sysconf("SC_CLK_TCK")


def machine():
    """Busy and total processor seconds of the machine since its start."""
    with open("/proc/stat", encoding="ascii") as f:
        values = [int(v) for v in f.readline().split()[1:9]]
    return ((sum(values) - values[3] - values[4]) / TICKS,
            sum(values) / TICKS)


def processor(pid):
    """Processor seconds of a process, with those of its ended children."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as f:
        fields = f.read().rsplit(")", 1)[1].split()
    return sum(int(v) for v in fields[11:15]) / TICKS


def running(c):
    """{kind: processor seconds} of the processes of cluster C and of this
    one; "tools" are the commands of the operators."""
    kinds = {"agents": [vm.agent for vm in c.vms],
             "forwarders": [vm.forwarder for vm in c.vms if vm.forwarder],
             "store": [c.store]}
    found = {kind: sum(processor(p.pid) for p in processes)
             for kind, processes in kinds.items()}
    own = os.times()
    found["poller"] = own.user + own.system
    found["tools"] = own.children_user + own.children_system
    return found


class Times:
    """Reads the log lines of every agent as they are written."""

    def __init__(self, c, record):
        self.cluster = c
        self.record = record
        self.read = {}
        self.seen = {"accepted": {}, "in_force": {}}

    def look(self):
        for vm in self.cluster.vms:
            with open(vm.agent.err, "rb") as log:
                log.seek(self.read.get(vm.id, 0))
                text = log.read()
            end = text.rfind(b"\n") + 1
            self.read[vm.id] = self.read.get(vm.id, 0) + end
            for kind, record, revision, at in LINE.findall(
                    text[:end].decode(errors="replace")):
                if record == self.record:
                    self.seen[kind].setdefault(int(revision), {})[vm.id] = (
                        int(at))

    def of(self, kind, revision):
        """Times at which the agents had REVISION."""
        return sorted(self.seen[kind].get(revision, {}).values())

    def slowest(self, kind):
        """Longest time in ms, over the revisions that the operators wrote
        down, from the write until the last agent had it."""
        self.look()
        longest = 0
        for event in self.cluster.events("config"):
            at = self.of(kind, event["revision"])
            if event["record"] == self.record and at:
                longest = max(longest, at[-1] - event["t"])
        return round(longest / 1000, 1)

    def wait(self, kind, revision, seconds):
        """Waits until every agent has REVISION; looks rarely, because reading
        the logs takes processor time."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            time.sleep(1.0)
            self.look()
            if len(self.of(kind, revision)) == len(self.cluster.vms):
                return
        raise TimeoutError(f"revision {revision}: {kind} on "
                           f"{len(self.of(kind, revision))} agents after "
                           f"{seconds} s")


def write(c, value):
    """Writes a revision without a line in the history, which is judged by
    what the poller sees and the poller does not run."""
    c.services["dispatch"]["weights"] = {"dispatch-1": value}
    c.write_record("dispatch")
    c.write("apply", c.records / "dispatch.yaml")


def change(c, times, value):
    """One change.  Returns its times in ms since the operators' command began,
    the share of the machine's processors that was busy meanwhile, and the
    processor time of each kind of process.

    first, median, last: an agent accepts the version.  in_force: the last
    forwarder has it.  spread: first to last.  forwarder: last to in_force."""
    busy, total = machine()
    before = running(c)
    begun = now_us()
    write(c, value)
    command = now_us()
    revision = c.revisions()["dispatch"]
    times.wait("in_force", revision, 15)
    accepted = times.of("accepted", revision)
    in_force = times.of("in_force", revision)[-1]
    after = running(c)
    busy_after, total_after = machine()
    row = {"command_ms": command - begun, "first_ms": accepted[0] - begun,
           "median_ms": median(accepted) - begun,
           "last_ms": accepted[-1] - begun, "in_force_ms": in_force - begun,
           "spread_first_to_last_ms": accepted[-1] - accepted[0],
           "forwarder_ms": in_force - accepted[-1]}
    row = {name: us / 1000 for name, us in row.items()}
    row["machine_percent"] = (100 * (busy_after - busy)
                              / (total_after - total))
    for kind, seconds in after.items():
        row[kind + "_processor_ms"] = 1000 * (seconds - before[kind])
    return row


def changes(c, count, pause=1.0):
    """Medians over COUNT changes, each after the last is in force, and the
    worst time to be in force."""
    times = Times(c, "dispatch")
    rows = []
    for i in range(count):
        time.sleep(pause)
        rows.append(change(c, times, 20 + i))
    found = {key: round(median([r[key] for r in rows]), 1) for key in rows[0]}
    found["in_force_worst_ms"] = round(max(r["in_force_ms"] for r in rows), 1)
    return found
