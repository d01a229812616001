"""Design 2 and 5.2, agent crash: its crash cuts nothing, the forwarder serves
with the last snapshot.  Guards against a forwarder that depends on its
agent."""

import time

import common


def body(t):
    c = t.cluster()
    c.start()
    first = c.start_caller("feeds", [
        "--flows", "dispatch:60", "--open-rate", 100, "--seconds", 9])
    time.sleep(1.5)
    for vm in c.vms:
        vm.agent.kill()
    time.sleep(1)
    late = c.start_caller("late", [
        "--flows", "dispatch:30", "--open-rate", 50,
        "--requests", "dispatch:0:one_time:30", "--seconds", 4])
    late.wait(40)
    for vm in c.vms:
        c.start_agent(vm)
    c.wait_in_force()
    first.wait(40)
    g = t.check(c)
    t.expect(g["flows_opened"] >= 90, f"opened {g['flows_opened']}")
    t.expect(g["broken"] == 0, f"broken {g['broken']}")
    t.expect(g["answered"] == g["requests"] > 50,
             f"answered {g['answered']} of {g['requests']}")
    for vm in c.vms:
        t.expect(vm.forwarder.running(), f"{vm.forwarder.name} ended")


if __name__ == "__main__":
    common.run(body, __file__)
