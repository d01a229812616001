"""Ticketless one-time requests: the owner's forwarder, then its whole VM is
paused past the lease and woken.  Guards against a request that a woken owner
runs although another owner has it."""

import time

import common
import owners


def body(t):
    c = owners.cluster(t)
    first = owners.wait_owner(c, t)
    caller = c.start_caller("load", owners.LOAD + ["--seconds", 60])
    time.sleep(3)
    c.note("fault", what="pause")
    first.forwarder.pause()
    time.sleep(5)
    first.forwarder.resume()
    time.sleep(5)
    c.pause_vm(first)
    owners.wait_owner(c, t, other=first)
    time.sleep(3)
    c.resume_vm(first)
    caller.wait(60)
    owners.expect(t, c, caller)


if __name__ == "__main__":
    common.run(body, __file__)
