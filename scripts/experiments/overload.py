"""Twice the capacity, then back; then with lost connections to upstreams."""

import time

import plot
from cluster import KORTRIJKSE
from experiment import per_second, percentile
from forwarder import metric
from results import Requests

DESCRIPTION = "goodput holds at twice the capacity and recovers at once"
PRODUCTS = ("local", "two_choices", "random", "round_robin")

# Fields of the record that make a baseline.  100,000 % of successes, with a
# burst of as many retries, is no budget for the length of a run.
BASELINES = {"no_lending": {"lending": "off"},
             "no_retry_budget": {"retry_budget": 100000}}
POLICIES = (*PRODUCTS, *BASELINES)

GOODPUT_BOUND = 0.95
NORMAL_SECONDS = 5
SERVICE_MS = 50
SLOTS = 2
UPSTREAMS = 15
WEIGHTS = {0: 2, 1: 1}
CLASSES = [
    {"id": 0, "name": "reservation", "kind": "one_time", "weight": 2,
     "priority": 0, "deadline_ms": 2000, "queue_limit": 64},
    {"id": 1, "name": "availability", "kind": "repeatable", "weight": 1,
     "priority": 1, "deadline_ms": 2000, "queue_limit": 64},
]
# Requests a second of class 0 and 1, as a share of the capacity.
NORMAL = (0.2, 0.4)
OVERLOAD = (0.5, 1.5)
LOSS = (0.05, 1.95)
NOMINAL = UPSTREAMS * SLOTS * 1000 / SERVICE_MS

# The connections of a third of the upstreams are cut each LOSS_STEP_SECONDS,
# one third after the other.  A VM keeps away from an upstream for about 0.25 s
# after it lost its connection, so that about a quarter of the runs are lost.
LOSS_GROUPS = 3
LOSS_STEP_SECONDS = 0.12

# docs/design.md, 4.5: a tenth of successes, and a burst of 10 on each VM.
BUDGET_SHARE = 0.1
BUDGET_BURST = 10


def cluster(x, policy, baseline=None, **arguments):
    specs = [dict(KORTRIJKSE[0], policy=policy, classes=CLASSES,
                  slow_start_ms=1000, open_rate=5000,
                  **BASELINES.get(baseline, {}))]
    return x.cluster(services=specs, region="be-central", **arguments)


def start(c):
    c.start({"upstream_arguments": ["--service-ms", SERVICE_MS,
                                    "--cold-ms", 0]})
    time.sleep(2)


def start_phase(c, name, shares, seconds):
    load = []
    kinds = ("one_time", "repeatable")
    for number, share in enumerate(shares):
        load += ["--requests", f"booking:{number}:{kinds[number]}:"
                               f"{int(share * NOMINAL)}"]
    return c.start_caller(name, [*load, "--seconds", seconds])


def now():
    return time.clock_gettime_ns(time.CLOCK_MONOTONIC) // 1000


def read(c):
    return Requests(c.events("request", "answer", "run", "done", "outcome"),
                    WEIGHTS)


# ---- twice the capacity ----------------------------------------------------


def phases(x, c):
    """Normal, overload, normal; returns the times of the three begins."""
    begins = []
    callers = []
    for name, shares, seconds in (("before", NORMAL, x.pick(8, 3)),
                                  ("over", OVERLOAD, x.pick(15, 5)),
                                  ("after", NORMAL, x.pick(15, 7))):
        begins.append(now())
        callers.append(start_phase(c, name, shares, seconds))
        time.sleep(seconds)
    for caller in callers:
        caller.wait(30)
    return begins


def surge(x, policy, baseline=None):
    """One run of the three phases; its figures carry the baseline's name."""
    prefix = f"{baseline}_" if baseline else ""
    x.say(baseline or policy)
    with cluster(x, policy, baseline) as c:
        start(c)
        begins = phases(x, c)
    r = read(c)
    g = x.check(c, prefix=prefix, promises=not baseline)
    x.keep(g, "requests", "answered", "not_run", "unknown", "gave_up",
           "refused", "over_limit", "doubled", prefix=prefix)
    x.figures.update({prefix + k: v
                      for k, v in surge_figures(x, r, begins).items()})
    if not baseline and not x.small:
        draw(x, r, begins)


def surge_figures(x, r, begins):
    before, over, after = begins
    capacity = (UPSTREAMS * SLOTS * 1e6 * len(r.service_us)
                / sum(r.service_us))
    window = (over + 1_500_000, after - 200_000)
    goodput = r.goodput(*window)
    best = r.best(*window, capacity)
    normal = (before + 1_000_000, over)
    settled = (after + NORMAL_SECONDS * 1_000_000,
               after + int(x.pick(14, 6.5) * 1e6))
    f = {"capacity_per_second": round(capacity, 1),
         "goodput_weighted": round(goodput, 1),
         "goodput_attainable": round(best, 1),
         "goodput_share": round(goodput / best, 4) if best else 0,
         "offered_over_capacity": round(
             sum(r.offered(*window, k) for k in WEIGHTS) / capacity, 3),
         "answered_share_before": round(r.share(*normal), 4),
         "answered_share_after": round(r.share(*settled), 4),
         "p95_ms_before": milliseconds(r.latency(*normal)),
         "p95_ms_after": milliseconds(r.latency(*settled))}
    f["normal_after"] = int(
        f["answered_share_after"] >= 0.99
        and f["p95_ms_after"] <= 1.5 * f["p95_ms_before"] + 10)
    return f


def milliseconds(latencies, share=0.95):
    return round(percentile(latencies, share) / 1000, 1)


def draw(x, r, begins):
    before, end = begins[0], begins[2] + 14_000_000
    times = sorted(r.answered.values())
    offers = sorted(t for t, _ in r.sent.values())
    plot.lines("overload", "requests a second", "seconds", {
        "offered": list(enumerate(per_second(offers, before, end))),
        "answered": list(enumerate(per_second(times, before, end))),
    })


# ---- lost connections ------------------------------------------------------


def loss(x, policy, baseline=None):
    """Overload while connections to upstreams break again and again."""
    prefix = f"{baseline}_" if baseline else ""
    x.say(f"lost connections, {baseline or policy}")
    seconds = x.pick(12, 6)
    with cluster(x, policy, baseline, upstream_relays=LOSS_GROUPS) as c:
        start(c)
        begin = now()
        caller = start_phase(c, "loss", LOSS, seconds)
        turn = 0
        while now() < begin + seconds * 1e6:
            time.sleep(LOSS_STEP_SECONDS)
            c.relay(f"tcp-relay-{turn % LOSS_GROUPS + 1}", "reset")
            turn += 1
        caller.wait(30)
        retries, denied, answers = (
            sum(metric(vm, name) for vm in c.vms)
            for name in ("retries_total", "retries_denied_total",
                         "answers_total"))
    r = read(c)
    x.check(c, prefix=f"{prefix}loss_", promises=not baseline)
    budget = BUDGET_SHARE * answers + BUDGET_BURST * len(c.vms)
    x.figures.update({prefix + k: v for k, v in loss_figures(
        r, (begin, begin + int(seconds * 1e6))).items()})
    x.figures.update({
        f"{prefix}loss_retries": int(retries),
        f"{prefix}loss_retries_denied": int(denied),
        f"{prefix}loss_retries_over_budget": round(retries / budget, 4)})


def loss_figures(r, window):
    """amplification: runs of a repeatable request that reached an upstream."""
    light = r.within(*window, 1)
    ran = [r.runs[i] for i in light if i in r.runs]
    return {"loss_amplification": round(sum(map(len, ran)) / len(ran), 4),
            "loss_goodput": round(r.goodput(*window), 1),
            "loss_heavy_answered_share": round(r.share(*window, 0), 4),
            "loss_light_answered_share": round(r.share(*window, 1), 4),
            "loss_p95_ms": milliseconds(r.latency(*window, 1)),
            "loss_p50_ms": milliseconds(r.latency(*window, 1), 0.5)}


def run(x):
    product, baselines = x.variants(PRODUCTS, BASELINES)
    surge(x, product)
    x.bound("goodput_share", ">=", GOODPUT_BOUND)
    x.bound("offered_over_capacity", ">=", 1.8)
    x.bound("normal_after", "==", 1)
    x.bound("doubled", "==", 0)
    if "no_lending" in baselines:
        surge(x, product, "no_lending")
        x.compare("goodput_share", "no_lending")
        x.compare("p95_ms_before", "no_lending")
    if "no_retry_budget" in baselines:
        loss(x, product)
        loss(x, product, "no_retry_budget")
        x.bound("loss_retries_over_budget", "<=", 1)
        x.bound("loss_retries_denied", ">=", 1)
        for figure in ("loss_amplification", "loss_goodput",
                       "loss_heavy_answered_share"):
            x.compare(figure, "no_retry_budget")
    return x.result()
