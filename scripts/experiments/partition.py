"""A data centre alone for a minute, then back."""

import time

from cluster import STIKLSETAS, now_us, wait_until

DESCRIPTION = "the cut-off data centre serves on, and converges in 6 s"
POLICIES = ("local", "two_choices")

CONVERGE_MS = 6000
INSIDE = "lv-c"



def inside_upstreams(c):
    """Names of the upstreams of the cut-off data centre."""
    return {name for spec in c.services.values()
            for i, name in enumerate(spec["upstream_names"]) if i % 3 == 2}


def rules(c):
    """Pairs of address prefixes that cannot reach each other."""
    inside = [vm.address + "." for vm in c.vms if vm.data_centre == INSIDE]
    outside = [vm.address + "." for vm in c.vms if vm.data_centre != INSIDE]
    pairs = [(a, b) for a in inside for b in outside]
    for service, spec in c.services.items():
        for i in range(len(spec["upstream_names"])):
            address = c.upstream_address(service, i).split(":")[0] + "."
            others = outside if i % 3 == 2 else inside
            pairs += [(a, address) for a in others]
    return pairs


def cut(c):
    for vm in c.vms:
        if vm.data_centre == INSIDE:
            c.note("fault", what="partition", vm=vm.name)
        else:
            c.fabric_command(f"forwarder remove {vm.data}")
    c.cut(rules(c))
    c.relay(f"store-{INSIDE}", "cut")


def heal(c):
    c.cut([])
    c.relay(f"store-{INSIDE}", "restore")
    for vm in c.vms:
        if vm.data_centre == INSIDE:
            c.note("repaired", vm=vm.name)
        else:
            c.fabric_command(f"forwarder add {vm.data}")


def broken_inside(c, begin, end, names):
    """Flows held by an upstream inside that broke between two times."""
    holder, broken, other = {}, set(), set()
    for e in c.events("flow_open", "broken"):
        if e["ev"] == "flow_open":
            holder[e["flow"]] = e["upstream"]
        elif begin <= e["t"] <= end:
            (broken if holder.get(e["flow"]) in names else other).add(
                e["flow"])
    return len(broken), len(other)


def converged(c, wanted):
    """True if each VM has the records in force and sees all members."""
    for vm in c.vms:
        try:
            status = c.status(vm)
        except OSError:
            return False
        alive = sum(1 for m in status["members"]
                    if m["state"] in (0, 1) and m["id"] != vm.id)
        if alive < len(c.vms) - 1:
            return False
        if any(status["in_force"].get(n, -1) < r for n, r in wanted.items()):
            return False
    return True


def run(x):
    feeds = x.pick(1000, 200)
    alone = x.seconds(60, 9)
    specs = [dict(s, policy=x.policy) if s.get("schema") != 1 else dict(s)
             for s in STIKLSETAS]
    total = feeds / 200 + 3 + alone + 8
    with x.cluster(services=specs, store_relays=True, cut=True) as c:
        c.start()
        c.poll()
        caller = c.start_caller("load", [
            "--flows", f"dispatch:{feeds}", "--open-rate", 200,
            "--requests", "dispatch:0:one_time:40", "--seconds", int(total)])
        time.sleep(feeds / 200 + 2)
        begin = now_us()
        cut(c)
        time.sleep(alone / 2)
        outside = next(vm for vm in c.vms if vm.data_centre != INSIDE)
        c.apply("dispatch", vm=outside, weights={"dispatch-1": 80})
        time.sleep(alone / 2)
        wanted = c.revisions()
        healed = now_us()
        heal(c)
        try:
            wait_until(lambda: converged(c, wanted), 30, "convergence", 0.1)
        except TimeoutError as e:
            x.say(str(e))
        x.figures["converged_ms"] = round((now_us() - healed) / 1000)
        caller.wait(total + 40)
    inside, across = broken_inside(c, begin, healed, inside_upstreams(c))
    g = x.check(c, promises=False)
    x.keep(g, "flows_opened", "requests", "answered", "not_run", "unknown",
           "doubled", "false_not_run", "crossed", "wrong_service", "reverted",
           "config_late")
    x.figures["broken_inside"] = inside
    x.figures["broken_across"] = across
    x.bound("broken_inside", "==", 0)
    x.bound("converged_ms", "<=", CONVERGE_MS)
    x.bound("flows_opened", ">=", feeds)
    for name in ("doubled", "false_not_run", "crossed", "wrong_service",
                 "reverted", "config_late"):
        x.bound(name, "==", 0)
    return x.result()
