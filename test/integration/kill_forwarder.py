"""Design 1.4, entry VMs die without warning; 5.2, forwarder crash: feeds go
on through the others, only requests in progress there are UNKNOWN, nothing
runs twice.  Guards against flow state that dies with a forwarder."""

import time

import common


def body(t):
    c = t.cluster()
    c.start()
    caller = c.start_caller("load", [
        "--flows", "dispatch:100", "--open-rate", 100,
        "--requests", "dispatch:0:one_time:40", "--seconds", 9])
    time.sleep(3)
    vm = c.vms[0]
    vm.forwarder.kill()
    c.note("kill", vm=vm.name)
    time.sleep(0.2)
    c.fabric_command(f"forwarder remove {vm.data}")
    time.sleep(2)
    c.start_forwarder(vm)
    time.sleep(0.5)
    c.fabric_command(f"forwarder add {vm.data}")
    c.note("started", vm=vm.name)
    caller.wait(40)
    c.wait_in_force()
    g = t.check(c)
    t.expect(g["flows_opened"] >= 100, f"opened {g['flows_opened']}")
    t.expect(g["broken"] == 0, f"broken {g['broken']}")
    elsewhere = g["unknown"] + g["gave_up"] - g["unknown_unplanned"]
    t.expect(elsewhere == 0, f"{elsewhere} UNKNOWN or given up without a "
             "failure in their time")


if __name__ == "__main__":
    common.run(body, __file__)
