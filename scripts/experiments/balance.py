"""Imbalance of open flows and busy slots against the baselines."""

import time

import plot
from cluster import KORTRIJKSE
from experiment import busy_time, max_over_mean, open_flows

DESCRIPTION = "flows and busy slots are even over the upstreams"
POLICIES = ("local", "two_choices", "random", "round_robin", "hash")

FLOWS_BOUND = 1.05
SLOTS_BOUND = 1.10
WARM_SECONDS = 4


def one(x, policy, seconds):
    """Runs one policy; returns its two figures."""
    flows = x.pick(3000, 900)
    rate = x.pick(400, 200)
    specs = [dict(KORTRIJKSE[0], policy=policy, slow_start_ms=1000),
             dict(KORTRIJKSE[1])]
    names = [f"booking-{i + 1}" for i in range(15)]
    with x.cluster(services=specs, region="be-central") as c:
        c.start({"upstream_arguments": ["--service-ms", 40]})
        time.sleep(1.5)
        caller = c.start_caller("load", [
            "--flows", f"booking:{flows}", "--open-rate", rate,
            "--requests", "booking:0:one_time:400", "--seconds", seconds])
        caller.wait(seconds + 30)
    events = c.events("run", "done", "flow_open", "flow_close", "opened")
    opened = [e["t"] for e in events if e["ev"] == "opened"]
    g = x.check(c, prefix=f"{policy}_")
    begin = opened[0] + WARM_SECONDS * 1_000_000
    held = open_flows(events, names, opened[-1] + 100_000)
    busy = busy_time(events, names, begin,
                     opened[0] + int((seconds - 0.5) * 1e6))
    x.figures[f"{policy}_answered"] = g["answered"]
    return {"flows": max_over_mean(list(held.values())),
            "slots": max_over_mean(list(busy.values())),
            "opened": sum(held.values()), "held": held, "busy": busy}


def run(x):
    seconds = x.seconds(20, 12)
    flows = x.pick(3000, 900)
    baselines = () if x.small else ("random", "round_robin", "hash")
    found = {}
    for policy in (x.policy, *(b for b in baselines if b != x.policy)):
        x.say(policy)
        found[policy] = f = one(x, policy, seconds)
        x.figures[f"{policy}_flows_max_over_mean"] = f["flows"]
        x.figures[f"{policy}_slots_max_over_mean"] = f["slots"]
    x.figures["flows_max_over_mean"] = found[x.policy]["flows"]
    x.figures["slots_max_over_mean"] = found[x.policy]["slots"]
    x.figures["flows_held"] = found[x.policy]["opened"]
    if "random" in found and found["random"]["slots"]:
        x.figures["slots_ratio_to_random"] = round(
            found[x.policy]["slots"] / found["random"]["slots"], 4)
        x.figures["flows_ratio_to_random"] = round(
            found[x.policy]["flows"] / found["random"]["flows"], 4)
    x.bound("flows_max_over_mean", "<=", FLOWS_BOUND)
    x.bound("slots_max_over_mean", "<=", SLOTS_BOUND)
    x.bound("flows_held", ">=", flows)
    if not x.small:
        plot.bars("balance", "busy slots, max over mean",
                  {p: f["slots"] for p, f in found.items()}, SLOTS_BOUND)
    return x.result()
