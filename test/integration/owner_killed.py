"""Ticketless one-time requests: the owner is killed under load, then the next
one is stopped as planned.  Guards against a request that runs under two
owners, a false NOT-RUN, and a service that finds no owner again."""

import time

import common
import owners


def body(t):
    c = owners.cluster(t)
    first = owners.wait_owner(c, t)
    caller = c.start_caller("load", owners.LOAD + ["--seconds", 65])
    time.sleep(5)
    c.kill_vm(first)
    start = time.monotonic()
    second = owners.wait_owner(c, t, other=first)
    print(f"owner after a crash: {time.monotonic() - start:.1f} s")
    c.start_vm(first)
    time.sleep(20)  # the grace after an acquisition, and the start of FIRST
    start = time.monotonic()
    c.stop_vm(second)
    owners.wait_owner(c, t, other=second)
    print(f"owner after a planned stop: {time.monotonic() - start:.1f} s")
    caller.wait(60)
    owners.expect(t, c, caller)


if __name__ == "__main__":
    common.run(body, __file__)
