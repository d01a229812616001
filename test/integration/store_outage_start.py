"""Design 1.4, the store is down for long; 5, a fresh agent pulls from peers.
Guards against an entry VM that cannot start, or serves nothing, while the
store is away."""

import time

import common


def body(t):
    c = t.cluster()
    c.start_platform()
    for vm in c.vms[:2]:
        c.start_forwarder(vm)
        c.start_agent(vm)
    time.sleep(1)
    c.configure()
    c.wait_in_force(c.vms[:2])
    wanted = c.revisions()
    c.store_fault(outage_ms=12000)
    fresh = c.vms[2]
    c.start_forwarder(fresh)
    c.start_agent(fresh)
    begin = time.monotonic()
    while not c.in_force_on(fresh, wanted):
        t.expect(time.monotonic() - begin < 6, "fresh VM has no configuration "
                 "6 s after its start in an outage of the store")
        time.sleep(0.1)
    for vm in c.vms[:2]:
        c.fabric_command(f"forwarder remove {vm.data}")
    caller = c.start_caller("load", [
        "--flows", "dispatch:20", "--open-rate", 40, "--seconds", 3])
    caller.wait(40)
    g = t.check(c)
    t.expect(g["flows_opened"] >= 20, f"opened {g['flows_opened']}")
    t.expect(g["broken"] == 0, f"broken {g['broken']}")


if __name__ == "__main__":
    common.run(body, __file__)
