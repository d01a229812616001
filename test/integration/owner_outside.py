"""Ticketless one-time requests through nine entry VMs, two of which are outside
the home set.  Guards against a caller that is told UNKNOWN by a VM which does
not hear who the owner is."""

import time

import common
import owners


def body(t):
    c = t.cluster(services=[owners.SERVICE], vms=9)
    c.start({"upstream_arguments": ["--service-ms", 30]})
    owners.wait_owner(c, t)
    time.sleep(3)  # the owner tells the home VMs each second
    caller = c.start_caller("load", owners.LOAD + ["--seconds", 15])
    caller.wait(40)
    g = owners.expect(t, c, caller)
    t.expect(g["unknown"] + g["gave_up"] <= g["requests"] // 100, str(g))


if __name__ == "__main__":
    common.run(body, __file__)
