"""Twice the capacity, then back."""

import time

import plot
from cluster import KORTRIJKSE
from experiment import per_second, percentile

DESCRIPTION = "goodput holds at twice the capacity and recovers at once"
POLICIES = ("local", "two_choices", "random", "round_robin")

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


def start_phase(c, name, shares, capacity, seconds):
    load = []
    kinds = ("one_time", "repeatable")
    for number, share in enumerate(shares):
        load += ["--requests", f"booking:{number}:{kinds[number]}:"
                               f"{int(share * capacity)}"]
    return c.start_caller(name, [*load, "--seconds", seconds])


def phases(x, c, capacity):
    """Normal, overload, normal; returns the times of the three begins."""
    normal, over = x.pick(8, 3), x.pick(15, 7)
    after = x.pick(15, 8)
    begins = []
    callers = []
    for name, shares, seconds in (("before", NORMAL, normal),
                                  ("over", OVERLOAD, over),
                                  ("after", NORMAL, after)):
        begins.append(time.clock_gettime_ns(time.CLOCK_MONOTONIC) // 1000)
        callers.append(start_phase(c, name, shares, capacity, seconds))
        time.sleep(seconds)
    for caller in callers:
        caller.wait(30)
    return begins


class Requests:
    """Requests and their results, read from the histories."""

    def __init__(self, events):
        self.sent = {}
        self.answered = {}
        self.run = {}
        self.service_us = []
        for e in events:
            if e["ev"] == "request":
                self.sent[e["req"]] = (e["t"], e["class"])
            elif e["ev"] == "answer":
                self.answered[e["req"]] = e["t"]
            elif e["ev"] == "run":
                self.run[e["req"]] = e["t"]
            elif e["ev"] == "done" and e["req"] in self.run:
                self.service_us.append(e["t"] - self.run[e["req"]])

    def goodput(self, from_us, to_us):
        """Weight of the answers in a window, a second."""
        weight = sum(WEIGHTS[self.sent[r][1]]
                     for r, t in self.answered.items() if from_us <= t < to_us)
        return weight * 1e6 / (to_us - from_us)

    def offered(self, from_us, to_us, number):
        """Requests of a class sent in a window, a second."""
        count = sum(1 for t, k in self.sent.values()
                    if k == number and from_us <= t < to_us)
        return count * 1e6 / (to_us - from_us)

    def latency(self, from_us, to_us):
        return [self.answered[r] - t for r, (t, _) in self.sent.items()
                if r in self.answered and from_us <= t < to_us]

    def share(self, from_us, to_us):
        """Share of the requests sent in a window that were answered."""
        sent = [r for r, (t, _) in self.sent.items() if from_us <= t < to_us]
        done = sum(1 for r in sent if r in self.answered)
        return done / len(sent) if sent else 0

    def best(self, from_us, to_us, capacity):
        """Largest weight a second that the slots could have served of what
        was offered: the heavier class first."""
        heavy = min(capacity, self.offered(from_us, to_us, 0))
        light = min(capacity - heavy, self.offered(from_us, to_us, 1))
        return WEIGHTS[0] * heavy + WEIGHTS[1] * light


def run(x):
    nominal = UPSTREAMS * SLOTS * 1000 / SERVICE_MS
    specs = [dict(KORTRIJKSE[0], policy=x.policy, classes=CLASSES,
                  slow_start_ms=1000, open_rate=5000)]
    with x.cluster(services=specs, region="be-central") as c:
        c.start({"upstream_arguments": ["--service-ms", SERVICE_MS,
                                        "--cold-ms", 0]})
        time.sleep(2)
        begins = phases(x, c, nominal)
    r = Requests(c.events("request", "answer", "run", "done"))
    g = x.check(c)
    judge(x, r, begins, g)
    return x.result()


def judge(x, r, begins, g):
    before, over, after = begins
    capacity = (UPSTREAMS * SLOTS * 1e6 * len(r.service_us)
                / sum(r.service_us))
    window = (over + 1_500_000, after - 200_000)
    goodput = r.goodput(*window)
    best = r.best(*window, capacity)
    normal = (before + 1_000_000, over)
    settled = (after + NORMAL_SECONDS * 1_000_000,
               after + int(x.pick(14, 7) * 1e6))
    x.keep(g, "requests", "answered", "not_run", "unknown", "gave_up",
           "refused", "over_limit", "doubled")
    x.figures.update(
        capacity_per_second=round(capacity, 1),
        goodput_weighted=round(goodput, 1),
        goodput_attainable=round(best, 1),
        goodput_share=round(goodput / best, 4) if best else 0,
        offered_over_capacity=round(sum(r.offered(*window, k)
                                        for k in WEIGHTS) / capacity, 3),
        answered_share_before=round(r.share(*normal), 4),
        answered_share_after=round(r.share(*settled), 4),
        p95_ms_before=round(percentile(r.latency(*normal), 0.95) / 1000, 1),
        p95_ms_after=round(percentile(r.latency(*settled), 0.95) / 1000, 1))
    f = x.figures
    f["normal_after"] = int(
        f["answered_share_after"] >= 0.99
        and f["p95_ms_after"] <= 1.5 * f["p95_ms_before"] + 10)
    x.bound("goodput_share", ">=", GOODPUT_BOUND)
    x.bound("offered_over_capacity", ">=", 1.8)
    x.bound("normal_after", "==", 1)
    x.bound("doubled", "==", 0)
    if not x.small:
        end = settled[1]
        times = sorted(r.answered.values())
        offers = sorted(t for t, _ in r.sent.values())
        plot.lines("overload", "requests a second", "seconds", {
            "offered": list(enumerate(per_second(offers, before, end))),
            "answered": list(enumerate(per_second(times, before, end))),
        })
