"""Design 2: forwarder and agent may start in either order.  Guards against a
program that gives up, or never tries again, when the other is not there
yet."""

import time

import common


def body(t):
    c = t.cluster()
    c.start_platform()
    for vm in c.vms[:2]:
        c.start_agent(vm)
    c.start_forwarder(c.vms[2])
    time.sleep(2.5)
    for vm in c.vms[:2]:
        t.expect(vm.agent.running(), f"{vm.agent.name} ended without its "
                 "forwarder")
        c.start_forwarder(vm)
    t.expect(c.vms[2].forwarder.running(), "forwarder ended without its agent")
    c.start_agent(c.vms[2])
    time.sleep(0.5)
    c.configure()
    c.wait_in_force()
    caller = c.start_caller("load", [
        "--flows", "dispatch:30", "--open-rate", 60,
        "--requests", "dispatch:0:one_time:30", "--seconds", 4])
    caller.wait(40)
    g = t.check(c)
    t.expect(g["answered"] == g["requests"] > 50,
             f"answered {g['answered']} of {g['requests']}")
    t.expect_alive(c)


if __name__ == "__main__":
    common.run(body, __file__)
