"""Design 1.3 and 1.4, a data centre is cut off from the others and from the
platform: it serves its upstreams, and joins again by revision and
incarnation.  Guards against a cut-off data centre that stops serving, and
against one that stays out or reverts afterwards."""

import time

import common


def body(t):
    c = t.cluster(store_relays=True, cut=True)
    c.start()
    inside = c.vms[2]
    others = c.vms[:2]
    address = c.upstream_address("dispatch", 2).split(":")[0] + "."
    outside = [c.upstream_address(s, i).split(":")[0] + "."
               for s, spec in c.services.items()
               for i in range(len(spec["upstream_names"])) if i % 3 != 2]
    pairs = [(inside.address + ".", o.address + ".") for o in others]
    pairs += [(inside.address + ".", a) for a in outside]
    pairs += [(o.address + ".", address) for o in others]
    for vm in others:
        c.fabric_command(f"forwarder remove {vm.data}")
    c.note("fault", what="partition", vm=inside.name)
    c.cut(pairs)
    c.relay(f"store-{inside.data_centre}", "cut")
    time.sleep(1)
    caller = c.start_caller("inside", [
        "--flows", "dispatch:20", "--open-rate", 20, "--seconds", 7])
    time.sleep(4)
    c.apply("dispatch", vm=others[0], weights={"dispatch-1": 60})
    wanted = c.revisions()
    t.expect(not c.in_force_on(inside, wanted), "the cut does not separate")
    caller.wait(40)
    c.cut([])
    c.relay(f"store-{inside.data_centre}", "restore")
    c.note("repaired", vm=inside.name)
    begin = time.monotonic()
    while not c.in_force_on(inside, wanted):
        t.expect(time.monotonic() - begin < 6,
                 f"not converged 6 s after: {c.status(inside)}")
        time.sleep(0.1)
    g = t.check(c)
    t.expect(g["flows_opened"] >= 20, f"opened inside: {g['flows_opened']}")
    t.expect(g["broken"] == 0, f"broken inside: {g['broken']}")


if __name__ == "__main__":
    common.run(body, __file__)
