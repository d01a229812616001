"""Bytes, processor time and memory of control per node, and their slope."""

import os
import time

import plot
import wire
from cluster import STIKLSETAS, wait_until
from experiment import median

DESCRIPTION = "control fits 6 KB/s, 1.1 % of a core and 32 MB at 730 VMs"
POLICIES = ("gossip",)

TARGET_VMS = 730
REGION = "lv-central"
HOME_SERVICES = 6
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
    """Medians over the agents in a window with one change of a record."""
    first = sample(c)
    begin = time.monotonic()
    time.sleep(seconds / 2)
    c.apply("dispatch", weights={"dispatch-1": 70})
    time.sleep(seconds / 2)
    second = sample(c)
    took = time.monotonic() - begin
    rows = list(zip(first, second))

    def rate(key):
        return median([(b[key] - a[key]) / took for a, b in rows])

    headers = rate("datagrams") * DATAGRAM_HEADERS
    return {"sent_bytes": round(rate("sent") + headers / 2),
            "received_bytes": round(rate("received") + headers / 2),
            "processor_percent": round(100 * rate("processor"), 3),
            "memory_mb": round(median([b["memory"] for b in second]), 2),
            "memory_max_mb": round(max(b["memory"] for b in second), 2)}


def one(x, size, services, seconds):
    with x.cluster(services=services, vms=size, log_level="error") as c:
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
        time.sleep(x.pick(5, 2))
        return measure(c, seconds)


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
    if not x.small and not x.size:
        many(x, seconds)
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
