"""Acceptance to in force on every agent; store lost, store older."""

import time

from cluster import STIKLSETAS, now_us, wait_until
from experiments import config_times
from experiments.control import TARGET_VMS, line

DESCRIPTION = "an accepted revision is in force everywhere in 6 s, for good"
POLICIES = ("gossip",)

BOUND_MS = 6000
CHANGES = 7
SNAPSHOT = "before"


def spread(c, prefix, x, count, between):
    """COUNT revisions, one after the other; the store is not touched."""
    for i in range(count):
        c.apply("dispatch", weights={"dispatch-1": 50 + i})
        time.sleep(between)
    wanted = c.revisions()
    for vm in c.vms:
        wait_until(lambda vm=vm: c.in_force_on(vm, wanted), 15,
                   f"{prefix}in force on {vm.name}", 0.2)


def store_lost_midway(c):
    """The store goes at the moment of acceptance."""
    c.apply("dispatch", weights={"dispatch-2": 70})
    c.store_fault(outage_ms=7000)
    time.sleep(8.5)


def store_older(c):
    """The store comes back as it was two revisions ago."""
    c.store_fault(snapshot=SNAPSHOT)
    c.apply("dispatch", weights={"dispatch-3": 60})
    c.apply("dispatch", weights={"dispatch-3": 61})
    wanted = c.revisions()
    for vm in c.vms:
        wait_until(lambda vm=vm: c.in_force_on(vm, wanted), 15,
                   f"in force on {vm.name}", 0.2)
    c.store_fault(restore=SNAPSHOT)
    time.sleep(7)
    return wanted["dispatch"]


def one(x, size):
    prefix = f"n{size}_"
    small_services = [dict(STIKLSETAS[0])]
    with x.cluster(services=small_services, vms=size, decisions=True,
                   log_level="info") as c:
        c.start_store()
        for vm in c.vms:
            c.start_forwarder(vm)
            c.start_agent(vm)
        wait_until(lambda: agents_up(c), 60, "agents", 0.5)
        c.configure()
        c.wait_in_force(seconds=60)
        found = config_times.changes(c, x.pick(CHANGES, 3))
        for name, value in found.items():
            x.figures[f"{prefix}{name}"] = value
        times = config_times.Times(c, "dispatch")
        poll = 0.25 if size <= 50 else 0.5
        c.poll(poll, {"dispatch"})
        time.sleep(2 * poll)
        begin = now_us()
        spread(c, prefix, x, x.pick(5, 3), 1.0)
        if not x.small:
            store_lost_midway(c)
        kept = store_older(c)
        c.poller.stop()
        c.poller = None
        old = [vm.name for vm in c.vms
               if c.status(vm)["in_force"].get("dispatch", 0) < kept]
        x.figures[prefix + "older_after_restore"] = len(old)
        x.figures[prefix + "polled_in_force_ms"] = times.slowest("in_force")
        x.figures[prefix + "seconds"] = round((now_us() - begin) / 1e6, 1)
    g = x.check(c, prefix=prefix)
    x.figures[prefix + "spread_ms"] = round(g["spread_max_ms"], 1)
    x.figures[prefix + "spread_mean_ms"] = round(g["spread_mean_ms"], 1)
    x.figures[prefix + "reverted"] = g["reverted"]
    x.figures[prefix + "configs"] = g["configs"]
    x.bound(prefix + "in_force_worst_ms", "<=", BOUND_MS)
    x.bound(prefix + "spread_ms", "<=", BOUND_MS)
    x.bound(prefix + "reverted", "==", 0)
    x.bound(prefix + "older_after_restore", "==", 0)
    x.bound(prefix + "configs", ">=", 4)


def agents_up(c):
    """True if the first agent answers and sees all members."""
    try:
        return len(c.status(c.vms[0])["members"]) >= len(c.vms) - 1
    except OSError:
        return False


def run(x):
    sizes = [x.size] if x.size else x.pick([7, 50, 200], [7])
    for size in sizes:
        x.say(f"{size} entry VMs")
        one(x, size)
    if len(sizes) > 1:
        extrapolate(x, sizes)
    return x.result()


def extrapolate(x, sizes):
    """Value at the target, if time grew linearly with the fleet; it grows
    with the logarithm, so this is an upper estimate."""
    for name in ("in_force_ms", "in_force_worst_ms"):
        slope, value = line([(n, x.figures[f"n{n}_{name}"]) for n in sizes])
        x.figures[name + "_slope_per_vm"] = round(slope, 3)
        x.figures[f"{name}_at_{TARGET_VMS}"] = round(value, 1)
        x.bound(f"{name}_at_{TARGET_VMS}", "<=", BOUND_MS)
