"""Open feeds through a rolling restart, drains, joins and revisions."""

import threading
import time

from cluster import STIKLSETAS

DESCRIPTION = "planned changes cut no open feed and no request"
POLICIES = ("local", "two_choices", "hash_binding")

# The plain hash binding is the baseline: it moves flows at every change.
SETTLE_SECONDS = 2


def services(policy):
    specs = [dict(s) for s in STIKLSETAS]
    if policy == "hash_binding":
        specs[0].update(binding="hash", classes=[])
    else:
        specs[0]["policy"] = policy
    return specs


def change_records(c, ended, counts):
    """Revisions, drains and joins until ENDED is set."""
    names = c.services["dispatch"]["upstream_names"]
    turn = 0
    while not ended.wait(1.0):
        upstream = names[turn % len(names)]
        step = turn % 3
        if step == 0:
            c.set_state("dispatch", upstream, "leaving")
            counts["drains"] += 1
        elif step == 1:
            c.set_state("dispatch", names[(turn - 1) % len(names)], "active")
            counts["joins"] += 1
        else:
            weights = {upstream: 90 + turn % 10}
            c.apply("dispatch", weights=weights)
        counts["revisions"] += 1
        turn += 1


def run(x):
    feeds = x.pick(3000, 300)
    restarted = x.pick(7, 2)
    seconds = x.seconds(75, 17)
    counts = {"drains": 0, "joins": 0, "revisions": 0}
    with x.cluster(services=services(x.policy)) as c:
        c.start()
        c.poll()
        load = ["--flows", f"dispatch:{feeds}", "--open-rate",
                x.pick(400, 150), "--seconds", seconds]
        if x.policy != "hash_binding":
            load += ["--requests", "dispatch:0:one_time:50"]
        load += ["--requests", "archive:0:repeatable:20"]
        start = time.monotonic()
        caller = c.start_caller("load", load)
        time.sleep(feeds / x.pick(400, 150) + SETTLE_SECONDS)
        ended = threading.Event()
        failures = []

        def work():
            try:
                change_records(c, ended, counts)
            except Exception as e:  # reported as a violation below
                failures.append(f"operator: {type(e).__name__}: {e}")

        operator = threading.Thread(target=work)
        operator.start()
        restarts = 0
        for vm in c.vms[:restarted]:
            if time.monotonic() - start > seconds - 6:
                break
            c.stop_vm(vm)
            c.start_vm(vm)
            restarts += 1
            time.sleep(x.pick(1.5, 0.5))
        caller.wait(seconds + 30)
        ended.set()
        operator.join()
        x.violations += failures
    g = x.check(c)
    x.keep(g, "flows_opened", "broken", "stalled", "cut_by_stop", "requests",
           "answered", "not_run", "unknown", "spread_max_ms",
           "leaving_delay_max_ms", "reverted")
    x.figures.update(counts, restarts=restarts, feeds=feeds,
                     operator_failures=len(failures))
    x.bound("broken", "==", 0)
    x.bound("flows_opened", ">=", feeds)
    x.bound("restarts", "==", restarted)
    x.bound("operator_failures", "==", 0)
    return x.result()
