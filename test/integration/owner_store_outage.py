"""Ticketless one-time requests during a store outage of 30 s with every
successor alive.  Guards against an owner that lapses although all have
promised, and against a second owner."""

import time

import common
import owners


def body(t):
    c = owners.cluster(t)
    first = owners.wait_owner(c, t)
    time.sleep(14)  # an agent promises nothing before it is 40 s old
    caller = c.start_caller("load", owners.LOAD + ["--seconds", 45])
    time.sleep(3)
    c.note("fault", what="store")
    c.store_fault(outage_ms=30000)
    caller.wait(80)
    g = owners.expect(t, c, caller)
    t.expect(owners.owner(c) == first.id, "the owner has changed")
    t.expect(g["unknown"] == 0, f"unknown {g['unknown']}")


if __name__ == "__main__":
    common.run(body, __file__)
