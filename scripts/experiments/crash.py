"""SIGKILL of one, then of two of seven entry VMs under load."""

import time

from cluster import STIKLSETAS

DESCRIPTION = "a crash breaks no feed, doubles nothing, cuts only its own"
POLICIES = ("local", "two_choices")


def run(x):
    feeds = x.pick(1500, 300)
    seconds = x.seconds(40, 16)
    specs = [dict(s, policy=x.policy) if s.get("schema") != 1 else dict(s)
             for s in STIKLSETAS]
    with x.cluster(services=specs) as c:
        c.start()
        start = time.monotonic()
        caller = c.start_caller("load", [
            "--flows", f"dispatch:{feeds}", "--open-rate", x.pick(400, 200),
            "--requests", "dispatch:0:one_time:100",
            "--requests", "archive:0:repeatable:30", "--seconds", seconds])
        time.sleep(feeds / x.pick(400, 200) + 1)
        c.kill_vm(c.vms[0])
        time.sleep(x.pick(8, 4))
        c.start_vm(c.vms[0])
        time.sleep(x.pick(4, 1))
        kill_two(c, c.vms[1], c.vms[2])
        caller.wait(seconds - (time.monotonic() - start) + 30)
    g = x.check(c)
    x.keep(g, "flows_opened", "broken", "stalled", "doubled", "requests",
           "answered", "not_run", "unknown", "gave_up", "unknown_unplanned",
           "lost_orders", "kills")
    x.figures["unknown_elsewhere"] = (g["unknown"] + g["gave_up"]
                                      - g["unknown_unplanned"])
    x.figures["answered_share"] = round(g["answered"]
                                        / max(1, g["requests"]), 4)
    x.bound("broken", "==", 0)
    x.bound("doubled", "==", 0)
    x.bound("unknown_elsewhere", "==", 0)
    x.bound("flows_opened", ">=", feeds)
    x.bound("kills", "==", 3)
    return x.result()


def kill_two(c, first, second):
    """Both die at one moment; the fabric notices after its lag."""
    c.kill_vm(first, notice=False)
    c.kill_vm(second)
    c.fabric_command(f"forwarder remove {first.data}")
