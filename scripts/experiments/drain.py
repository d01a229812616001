"""Accepted leaving mark to the last new work, store reachable and not."""

import time

from cluster import STIKLSETAS

DESCRIPTION = "a leaving upstream receives no new work after 3 s"
POLICIES = ("local", "two_choices", "random", "round_robin")

BOUND_MS = 3000
LOAD = ["--flows", "dispatch:6000", "--open-rate", "300",
        "--requests", "dispatch:0:one_time:150"]


def one(x, name, outage, seconds):
    """One drain of three upstreams; returns the figures."""
    specs = [dict(STIKLSETAS[0], policy=x.policy), dict(STIKLSETAS[1])]
    with x.cluster(services=specs) as c:
        c.start()
        caller = c.start_caller("load", [*LOAD, "--seconds", seconds])
        time.sleep(3)
        for upstream in ("dispatch-2", "dispatch-7", "dispatch-11"):
            c.leave("dispatch", upstream)
            if outage:
                c.store_fault(outage_ms=1500)
            time.sleep(2.0 if outage else 0.5)
        caller.wait(seconds + 30)
    g = x.check(c, prefix=f"{name}_")
    x.figures[f"{name}_delay_ms"] = round(g["leaving_delay_max_ms"], 1)
    x.figures[f"{name}_opened"] = g["flows_opened"]
    x.bound(f"{name}_delay_ms", "<=", BOUND_MS)
    x.bound(f"{name}_opened", ">=", 1000)


def run(x):
    one(x, "store_up", False, x.seconds(15, 8))
    if not x.small:
        one(x, "store_down", True, x.seconds(18, 10))
    return x.result()
