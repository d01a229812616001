"""SIGKILL of one, then of two of seven entry VMs under load."""

import time

from cluster import STIKLSETAS, wait_until
from forwarder import metric

DESCRIPTION = "a crash breaks no feed, doubles nothing, cuts only its own"
POLICIES = ("local", "two_choices")

# 20 of the 30 slots are busy, about 3 for each entry VM.
SERVICE_MS = 200
ORDERS = 100
DRAWINGS = 20

# Orders handed to upstreams by a VM at the moment of its kill, at least.  They
# take 100 to 300 ms and the kill comes some milliseconds after the look, so
# that some of them are still running then.
BUSY = 2
BUSY_SECONDS = 5


def run(x):
    feeds = x.pick(1500, 300)
    seconds = x.seconds(40, 16)
    specs = [dict(s, policy=x.policy) if s.get("schema") != 1 else dict(s)
             for s in STIKLSETAS]
    with x.cluster(services=specs) as c:
        c.start({"upstream_arguments": ["--service-ms", SERVICE_MS]})
        start = time.monotonic()
        caller = c.start_caller("load", [
            "--flows", f"dispatch:{feeds}", "--open-rate", x.pick(400, 200),
            "--requests", f"dispatch:0:one_time:{ORDERS}",
            "--requests", f"archive:0:repeatable:{DRAWINGS}",
            "--seconds", seconds])
        time.sleep(feeds / x.pick(400, 200) + 1)
        busy = wait_busy(c.vms[:1])
        c.kill_vm(c.vms[0])
        time.sleep(x.pick(8, 4))
        c.start_vm(c.vms[0])
        time.sleep(x.pick(4, 1))
        busy += wait_busy(c.vms[1:3])
        kill_two(c, c.vms[1], c.vms[2])
        caller.wait(seconds - (time.monotonic() - start) + 30)
    g = x.check(c)
    x.keep(g, "flows_opened", "broken", "stalled", "doubled", "requests",
           "answered", "not_run", "unknown", "gave_up", "unknown_unplanned",
           "lost_orders", "kills")
    x.figures["busy_at_kills"] = busy
    x.figures["unknown_elsewhere"] = (g["unknown"] + g["gave_up"]
                                      - g["unknown_unplanned"])
    x.figures["answered_share"] = round(g["answered"]
                                        / max(1, g["requests"]), 4)
    x.bound("broken", "==", 0)
    x.bound("doubled", "==", 0)
    x.bound("unknown_unplanned", ">=", 1)
    x.bound("unknown_elsewhere", "==", 0)
    x.bound("flows_opened", ">=", feeds)
    x.bound("kills", "==", 3)
    return x.result()


def wait_busy(vms):
    """Waits until each of VMS has BUSY orders at upstreams; returns their
    sum.  Without such a moment the kill would hit no request."""
    seen = []

    def all_busy():
        seen[:] = [int(metric(vm, "upstream_busy", service="dispatch"))
                   for vm in vms]
        return min(seen) >= BUSY

    wait_until(all_busy, BUSY_SECONDS, "orders in progress", 0.01)
    return sum(seen)


def kill_two(c, first, second):
    """Both die at one moment; the fabric notices after its lag."""
    c.kill_vm(first, notice=False)
    c.kill_vm(second)
    c.fabric_command(f"forwarder remove {first.data}")
