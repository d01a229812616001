"""Bytes, processor time and memory of control per node, and their slope."""

import contextlib
import os
import time

import plot
import wire
from cluster import STIKLSETAS, wait_until
from experiment import median

DESCRIPTION = "control fits 6 KB/s, 1.1 % of a core and 32 MB at 730 VMs"
POLICIES = ("gossip", "loss")

TARGET_VMS = 730
REGION = "lv-central"
HOME_SERVICES = 6
CHANGES_A_DAY = 370
CHANGE_SECONDS = 10

# The updates of the start of a whole fleet share the budget of updates and
# are over after this time; 5 s after the start they were most of the bytes.
SETTLE_SECONDS = 90

# With --policy loss: share of the datagrams that every entry VM loses.
LOSS = "0.2"

# Member states that count as held dead, and how many agents are asked.
DEAD_STATES = (2, 4)
ASKED = 20
FLOW_SIZES = (2000, 8000, 16000)
BYTES_BOUND = 6000
PROCESSOR_BOUND = 1.1
MEMORY_BOUND = 32.0

# Headers of IP and UDP, which the counters of the programs do not contain.
DATAGRAM_HEADERS = 28

TICKS = os.sysconf("SC_CLK_TCK")


def usage(pid):
    """Processor seconds and resident megabytes of a process."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as f:
        fields = f.read().rsplit(")", 1)[1].split()
    with open(f"/proc/{pid}/status", encoding="ascii") as f:
        rss = next(line for line in f if line.startswith("VmRSS"))
    return ((int(fields[11]) + int(fields[12])) / TICKS,
            int(rss.split()[1]) / 1024)


def metrics(c, vm):
    agent = wire.Agent(c.key, vm.agent_address)
    try:
        return agent.metrics()
    finally:
        agent.close()


def sample(c):
    """Figures of every agent: processor, memory, bytes sent and received."""
    found = []
    for vm in c.vms:
        m = metrics(c, vm)
        processor, memory = usage(vm.agent.pid)
        found.append({"processor": processor, "memory": memory,
                      "sent": m["control_sent_bytes"],
                      "received": m["control_received_bytes"],
                      "datagrams": sum(v for k, v in m.items()
                                       if k in ("gossip_sent",
                                                "gossip_received"))})
    return found


def measure(c, seconds):
    """Medians over the agents: a quiet window, then one with one change.  The
    change counts as often as at the target, 370 times a day."""
    first = sample(c)
    begin = time.monotonic()
    time.sleep(seconds)
    second = sample(c)
    took = time.monotonic() - begin
    c.apply("dispatch", weights={"dispatch-1": 70})
    time.sleep(CHANGE_SECONDS)
    third = sample(c)
    changed = time.monotonic() - begin - took

    def quiet(key):
        return median([(b[key] - a[key]) / took
                       for a, b in zip(first, second)])

    def change(key):
        return max(0, median([b[key] - a[key] for a, b in zip(second, third)])
                   - quiet(key) * changed)

    def rate(key):
        return quiet(key) + change(key) * CHANGES_A_DAY / 86400

    headers = rate("datagrams") * DATAGRAM_HEADERS
    return {"sent_bytes": round(rate("sent") + headers / 2),
            "received_bytes": round(rate("received") + headers / 2),
            "change_sent_bytes": round(change("sent")),
            "change_processor_ms": round(1000 * change("processor"), 1),
            "processor_percent": round(100 * rate("processor"), 3),
            "memory_mb": round(median([b["memory"] for b in third]), 2),
            "memory_max_mb": round(max(b["memory"] for b in third), 2)}


def held_dead(c):
    """Share of the live members that ASKED agents hold dead."""
    states = [m["state"] for vm in c.vms[:ASKED]
              for m in c.status(vm)["members"]]
    return sum(s in DEAD_STATES for s in states) / max(1, len(states))


@contextlib.contextmanager
def lossy(wanted):
    """Programs started inside lose datagrams if WANTED."""
    if wanted:
        os.environ["AM_CUT_LOSS"] = LOSS
    try:
        yield
    finally:
        os.environ.pop("AM_CUT_LOSS", None)


def one(x, size, services, seconds):
    loss = x.policy == "loss"
    with x.cluster(services=services, vms=size, log_level="error",
                   cut=loss) as c, lossy(loss):
        c.start_store()
        for vm in c.vms:
            c.start_forwarder(vm)
            c.start_agent(vm)
        wait_until(lambda: all_seen(c), 90, "members", 0.5)
        names = [n["name"] for n in services[:HOME_SERVICES]]
        c.start_upstreams(records=[c.upstream_records / f"{n}.yaml"
                                   for n in names])
        c.configure()
        c.wait_in_force(seconds=90)
        time.sleep(x.pick(SETTLE_SECONDS, 2))
        found = measure(c, seconds)
        if loss:
            found["held_dead"] = round(held_dead(c), 5)
        return found


def all_seen(c):
    try:
        return len(c.status(c.vms[0])["members"]) >= len(c.vms) - 1
    except OSError:
        return False


def line(points):
    """Least squares through (x, y): slope and value at the target."""
    n = len(points)
    mx = sum(p[0] for p in points) / n
    my = sum(p[1] for p in points) / n
    spread = sum((p[0] - mx) ** 2 for p in points)
    slope = (sum((p[0] - mx) * (p[1] - my) for p in points) / spread
             if spread else 0.0)
    return slope, my + slope * (TARGET_VMS - mx)


def run(x):
    sizes = [x.size] if x.size else x.pick([7, 50, 200], [7, 14])
    seconds = x.seconds(20, 4)
    base = [dict(STIKLSETAS[0])]
    rows = {}
    for size in sizes:
        x.say(f"{size} entry VMs")
        rows[size] = one(x, size, base, seconds)
        for name, value in rows[size].items():
            x.figures[f"n{size}_{name}"] = value
    judge(x, rows)
    if x.policy == "loss":
        x.figures["held_dead_worst"] = max(r["held_dead"]
                                           for r in rows.values())
        x.bound("held_dead_worst", "==", 0)
    elif not x.small and not x.size:
        many(x, seconds)
        flows(x)
        plot.lines("control", "bytes a second sent, for each entry VM",
                   "entry VMs",
                   {"measured": [(n, r["sent_bytes"])
                                 for n, r in rows.items()],
                    "bound": [(sizes[0], BYTES_BOUND),
                              (sizes[-1], BYTES_BOUND)]})
    return x.result()


def judge(x, rows):
    for name, limit in (("sent_bytes", BYTES_BOUND),
                        ("received_bytes", BYTES_BOUND),
                        ("processor_percent", PROCESSOR_BOUND),
                        ("memory_mb", MEMORY_BOUND)):
        slope, value = line([(n, r[name]) for n, r in rows.items()])
        x.figures[f"{name}_slope_per_vm"] = round(slope, 4)
        largest = rows[max(rows)][name]
        x.figures[f"{name}_at_{TARGET_VMS}"] = round(value, 2)
        x.figures[f"{name}_largest"] = largest
        x.bound(f"{name}_largest", "<=", limit)
        if not x.small:
            x.bound(f"{name}_at_{TARGET_VMS}", "<=", limit)


def many(x, seconds):
    """The records of the target size, 580 services, on 7 entry VMs.

    At the target an entry VM is home to 580 x 7 / 730, about 6 services, so
    the others belong to a region that none of these VMs serves."""
    services = [dict(STIKLSETAS[0])]
    services += [{"name": f"s{i}", "upstreams": 10,
                  "region": REGION if i < HOME_SERVICES - 1 else "elsewhere",
                  "address": f"127.99.{2 + i // 200}.{1 + i % 200}:8000",
                  "classes": []} for i in range(579)]
    r = one(x, 7, services, seconds)
    for name, value in r.items():
        x.figures[f"records580_{name}"] = value
    x.bound("records580_memory_mb", "<=", MEMORY_BOUND)
    x.bound("records580_processor_percent", "<=", PROCESSOR_BOUND)
    x.bound("records580_sent_bytes", "<=", BYTES_BOUND)


def flows(x):
    """Processor time and memory of a forwarder for each open flow, from three
    sizes on 7 entry VMs; each flow sends a ping a second."""
    rows = []
    for size in FLOW_SIZES:
        x.say(f"{size} flows")
        with x.cluster(services=[dict(STIKLSETAS[0], open_rate=5000)], vms=7,
                       log_level="error") as c:
            c.start()
            caller = c.start_caller("feeds", ["--flows", f"dispatch:{size}",
                                              "--open-rate", 4000,
                                              "--seconds", 16])
            time.sleep(8)
            first = [usage(vm.forwarder.pid) for vm in c.vms]
            time.sleep(6)
            second = [usage(vm.forwarder.pid) for vm in c.vms]
            caller.wait(30)
        rows.append((size / 7, median([m for _, m in second]),
                     median([(b[0] - a[0]) / 6 * 100
                             for a, b in zip(first, second)])))
    for name, column in (("memory_mb", 1), ("processor_percent", 2)):
        slope, _ = line([(r[0], r[column]) for r in rows])
        x.figures[f"flow_{name}_each_1000"] = round(1000 * slope, 4)
        for size, r in zip(FLOW_SIZES, rows):
            x.figures[f"flows{size}_{name}"] = round(r[column], 3)
