"""One-time requests under loss, duplication, reorder, pause, kill and
partition of the path."""

import random
import time

import owners
from cluster import STIKLSETAS, wait_until

DESCRIPTION = "no doubled run, no false NOT-RUN, no crossed or partial answer"
POLICIES = ("local", "two_choices", "tracked")

# Limit for the first owner, which waits for 10 s of an unchanged home set.
OWNER_WAIT_SECONDS = 45

FAULTS = ["loss 0.05", "duplicate 0.05", "reorder 0.1"]


def disturb(x, c, rng, end):
    """Pause, kill, cut in an order that the seed decides."""
    steps = ["pause", "kill", "cut", "cut-up", "cut-down", "slow"]
    rng.shuffle(steps)
    turn = 0
    while time.monotonic() < end - 4:
        step = steps[turn % len(steps)]
        vm = rng.choice(c.live())
        turn += 1
        x.say(f"{step} {vm.name}")
        if step == "pause":
            c.note("fault", what="pause")
            c.pause_vm(vm)
            time.sleep(1.5)
            c.resume_vm(vm)
        elif step == "kill":
            c.kill_vm(vm)
            time.sleep(0.5)
            c.start_vm(vm)
        elif step == "slow":
            c.note("fault", what="delay")
            c.relay("fabric-relay", "delay 40")
            time.sleep(1)
            c.relay("fabric-relay", "delay 0")
        else:
            c.note("fault", what="partition")
            c.relay("tcp-relay", step)
            time.sleep(0.7)
            c.relay("tcp-relay", "restore")
        time.sleep(0.7)
    return turn


def one(x, seed, count):
    rng = random.Random(seed)
    rate = x.pick(500, 150)
    tracked = x.policy == "tracked"
    specs = [dict(STIKLSETAS[0], policy="local" if tracked else x.policy,
                  binding="tracked" if tracked else "ticket"),
             dict(STIKLSETAS[1])]
    with x.cluster(services=specs, fabric_relays=True, upstream_relays=True,
                   seed=seed) as c:
        c.start({"upstream_arguments": ["--service-ms", 20,
                                        "--answer-bytes", 9000]})
        if tracked:
            wait_until(lambda: owners.owner(c), OWNER_WAIT_SECONDS,
                       "an owner")
        for relay in ("fabric-relay", "udp-relay"):
            for fault in FAULTS:
                c.relay(relay, fault)
        seconds = count / rate + 8
        caller = c.start_caller("load", [
            "--requests", f"dispatch:0:one_time:{rate}",
            "--requests", "archive:0:repeatable:20",
            "--request-count", count, "--seconds", int(seconds)])
        steps = disturb(x, c, rng, time.monotonic() + count / rate)
        caller.wait(seconds + 40)
    g = x.check(c, prefix=f"seed{seed}_")
    g["steps"] = steps
    return g


def run(x):
    count = x.pick(10000, 1200)
    totals = {}
    for seed in range(x.seed, x.seed + x.pick(3, 1)):
        for name, value in one(x, seed, count).items():
            totals[name] = totals.get(name, 0) + value
    x.keep(totals, "requests", "answered", "not_run", "unknown", "gave_up",
           "no_result", "doubled", "false_not_run", "crossed", "partial",
           "several_results", "lost_orders", "steps")
    for name in ("doubled", "false_not_run", "crossed", "partial",
                 "several_results"):
        x.bound(name, "==", 0)
    x.bound("requests", ">=", count)
    # After each restart or long pause of the owner its requests are UNKNOWN
    # until another VM owns them (a session of 10 s, 20 s at most) and what may
    # be older than its acquisition has expired (4 s with an age, 14 s without).
    if x.policy != "tracked":
        x.bound("answered", ">=", count // 2)
    return x.result()
