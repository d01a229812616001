"""Open feeds through a rolling restart, drains, joins and revisions."""

import threading
import time

from cluster import STIKLSETAS

DESCRIPTION = "planned changes cut no open feed and no request"
PRODUCTS = ("local", "two_choices")

# Without tickets, by a hash of the flow over the active upstreams: it moves
# flows at every change.
BASELINES = ("hash_binding",)
POLICIES = (*PRODUCTS, *BASELINES)
SETTLE_SECONDS = 2


def services(policy, baseline):
    specs = [dict(s) for s in STIKLSETAS]
    specs[0]["policy"] = policy
    if baseline == "hash_binding":
        specs[0].update(binding="hash", classes=[])
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


def one(x, policy, baseline=None):
    """One run; the figures of a baseline carry its name."""
    prefix = f"{baseline}_" if baseline else ""
    x.say(baseline or policy)
    feeds = x.pick(3000, 300)
    seconds = x.seconds(75, 17)
    counts = {"drains": 0, "joins": 0, "revisions": 0}
    failures = []
    with x.cluster(services=services(policy, baseline)) as c:
        c.start()
        c.poll()
        load = ["--flows", f"dispatch:{feeds}", "--open-rate",
                x.pick(400, 150), "--seconds", seconds]
        if not baseline:
            load += ["--requests", "dispatch:0:one_time:50"]
        load += ["--requests", "archive:0:repeatable:20"]
        end = time.monotonic() + seconds
        caller = c.start_caller("load", load)
        time.sleep(feeds / x.pick(400, 150) + SETTLE_SECONDS)
        ended = threading.Event()

        def work():
            try:
                change_records(c, ended, counts)
            except Exception as e:  # reported as a violation below
                failures.append(f"{prefix}operator: {type(e).__name__}: {e}")

        operator = threading.Thread(target=work)
        operator.start()
        restarts = restart(c, x.pick(7, 2), x.pick(1.5, 0.5), end - 6)
        caller.wait(seconds + 30)
        ended.set()
        operator.join()
    x.violations += failures
    g = x.check(c, prefix=prefix, promises=not baseline)
    x.keep(g, "flows_opened", "broken", "stalled", "cut_by_stop", "requests",
           "answered", "not_run", "unknown", "spread_max_ms",
           "leaving_delay_max_ms", "reverted", prefix=prefix)
    figures = dict(counts, restarts=restarts, feeds=feeds,
                   operator_failures=len(failures))
    x.figures.update({prefix + k: v for k, v in figures.items()})


def restart(c, count, pause, end):
    """Restarts COUNT entry VMs one after the other, none begun after END;
    returns how many."""
    done = 0
    for vm in c.vms[:count]:
        if time.monotonic() > end:
            break
        c.stop_vm(vm)
        c.start_vm(vm)
        done += 1
        time.sleep(pause)
    return done


def run(x):
    product, baselines = x.variants(PRODUCTS, BASELINES)
    one(x, product)
    x.bound("broken", "==", 0)
    x.bound("flows_opened", ">=", x.pick(3000, 300))
    x.bound("restarts", "==", x.pick(7, 2))
    x.bound("operator_failures", "==", 0)
    for name in baselines:
        one(x, product, name)
        x.compare("broken", name)
    return x.result()
