"""Promise 7: a planned stop cuts no request in progress.  Guards against a
forwarder that exits with requests sent or answers not yet delivered, and
promise 1: against feeds that end with it."""

import time

import common


def body(t):
    c = t.cluster()
    c.start({"upstream_arguments": ["--service-ms", 1200]})
    caller = c.start_caller("load", [
        "--flows", "dispatch:40", "--open-rate", 80,
        "--requests", "dispatch:0:one_time:3",
        "--requests", "archive:0:repeatable:2", "--seconds", 14])
    time.sleep(2)
    for vm in c.vms[:2]:
        c.note("planned_stop", vm=vm.name)
        began = time.monotonic()
        status = vm.forwarder.stop()
        took = time.monotonic() - began
        c.fabric_command(f"forwarder remove {vm.data}")
        agent = vm.agent.stop()
        c.note("stopped", vm=vm.name, status=status)
        t.expect(status == 0, f"forwarder exits with {status}")
        t.expect(agent == 0, f"agent exits with {agent}")
        t.expect(took < 10, f"stop took {took:.1f} s")
        c.start_vm(vm)
        time.sleep(0.5)
    caller.wait(50)
    g = t.check(c)
    t.expect(g["answered"] > 20, f"answered {g['answered']}")
    t.expect(g["unknown"] + g["gave_up"] == 0, str(g))
    t.expect(g["broken"] == 0, f"broken {g['broken']}")


if __name__ == "__main__":
    common.run(body, __file__)
