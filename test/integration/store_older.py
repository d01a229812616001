"""Promise 8 and design 5, store older than its past: a revision in force is
never given up for a lower one, and the case is reported.  Guards against a
restored store that reverts every entry VM."""

import time

import common

STORE_OLD = -37  # AM_E_STORE_OLD


def body(t):
    c = t.cluster()
    c.start()
    c.poll()
    c.store_fault(snapshot="old")
    c.apply("dispatch", weights={"dispatch-1": 55})
    c.apply("dispatch", weights={"dispatch-1": 56})
    c.wait_in_force()
    kept = c.revisions()["dispatch"]
    c.store_fault(restore="old")
    time.sleep(3)
    t.expect(c.revisions()["dispatch"] < kept, "the store is not older")
    vm = c.vms[1]
    c.stop_vm(vm)
    c.start_vm(vm)
    begin = time.monotonic()
    while not c.in_force_on(vm, {"dispatch": kept}):
        t.expect(time.monotonic() - begin < 8,
                 f"restarted VM has {c.status(vm)['in_force']} in force")
        time.sleep(0.2)
    time.sleep(2)
    errors = []
    for vm in c.vms:
        status = c.status(vm)
        errors.append(status["store_error"])
        t.expect(status["in_force"]["dispatch"] >= kept,
                 f"{vm.name} went back to {status['in_force']}")
    t.expect(STORE_OLD in errors, f"no agent reports the older store: "
             f"{errors}")
    t.check(c)


if __name__ == "__main__":
    common.run(body, __file__)
