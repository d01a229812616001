"""Imbalance of open flows and busy slots against the baselines."""

import time

import plot
from cluster import KORTRIJKSE
from experiment import (busy_time, latencies, max_over_mean, open_flows,
                        percentile)

DESCRIPTION = "flows and busy slots are even over the upstreams"
PRODUCTS = ("local", "two_choices")

# Fields of the record that make a baseline.
BASELINES = {"random": {"policy": "random"},
             "round_robin": {"policy": "round_robin"},
             "hash": {"policy": "hash"},
             "no_lending": {"lending": "off"}}
POLICIES = (*PRODUCTS, *BASELINES)

FLOWS_BOUND = 1.05
SLOTS_BOUND = 1.10
WARM_SECONDS = 4

# Length of the load: at 400 requests a second, the spread of a shorter
# measurement is more than the bound allows.
BUSY_SECONDS = 40


def one(x, name, fields, seconds, promises):
    """One run under the record's FIELDS; returns its figures."""
    x.say(name)
    flows = x.pick(3000, 900)
    rate = x.pick(400, 200)
    specs = [dict(KORTRIJKSE[0], slow_start_ms=1000, **fields),
             dict(KORTRIJKSE[1])]
    names = [f"booking-{i + 1}" for i in range(15)]
    with x.cluster(services=specs, region="be-central") as c:
        c.start({"upstream_arguments": ["--service-ms", 40]})
        time.sleep(1.5)
        caller = c.start_caller("load", [
            "--flows", f"booking:{flows}", "--open-rate", rate,
            "--requests", "booking:0:one_time:400", "--seconds", seconds])
        caller.wait(seconds + 30)
    events = c.events("run", "done", "flow_open", "flow_close", "opened",
                      "request", "answer")
    opened = [e["t"] for e in events if e["ev"] == "opened"]
    g = x.check(c, prefix=f"{name}_", promises=promises)
    begin = opened[0] + WARM_SECONDS * 1_000_000
    held = open_flows(events, names, opened[-1] + 100_000)
    busy = busy_time(events, names, begin,
                     opened[0] + int((seconds - 0.5) * 1e6))
    found = {"flows_max_over_mean": max_over_mean(list(held.values())),
             "slots_max_over_mean": max_over_mean(list(busy.values())),
             "flows_held": sum(held.values()),
             "p95_ms": round(percentile([b - a for a, b in latencies(events)],
                                        0.95) / 1000, 1),
             "answered": g["answered"]}
    x.figures.update({f"{name}_{k}": v for k, v in found.items()})
    return found


def run(x):
    seconds = x.seconds(BUSY_SECONDS, BUSY_SECONDS)
    product, baselines = x.variants(PRODUCTS, BASELINES)
    found = one(x, product, {"policy": product}, seconds, True)
    x.figures.update(found)
    slots = {product: found["slots_max_over_mean"]}
    for name in baselines:
        fields = {"policy": product, **BASELINES[name]}
        slots[name] = one(x, name, fields, seconds,
                          False)["slots_max_over_mean"]
        for figure in ("slots_max_over_mean", "flows_max_over_mean", "p95_ms"):
            x.compare(figure, name)
    x.bound("flows_max_over_mean", "<=", FLOWS_BOUND)
    x.bound("slots_max_over_mean", "<=", SLOTS_BOUND)
    x.bound("flows_held", ">=", x.pick(3000, 900))
    if not x.small:
        plot.bars("balance", "busy slots, max over mean", slots, SLOTS_BOUND)
    return x.result()
