"""Design 4.4: an upstream's process is gone while the record still names it.
A one-time request whose connection could not be opened has not left its entry
VM.  Guards against UNKNOWN for requests that no upstream ever took, which an
operator has to settle by hand.  One that was sent on an open connection just
before the upstream stopped, which left it unread, is UNKNOWN by right: its VM
cannot tell it from one that ran."""

import time

import common

STOPS = 4
TAKEN_PER_STOP = 2  # slots of the upstream: requests that it had taken


def under_way_at_a_stop(c):
    """Requests that were asked before an upstream stopped and ended after."""
    stops = [e["t"] for e in c.events("stop")]
    asked = {e["req"]: e["t"] for e in c.events("request")}
    return {e["req"] for e in c.events("outcome")
            if any(asked[e["req"]] < stop <= e["t"] for stop in stops)}


def body(t):
    c = t.cluster()
    c.start()
    caller = c.start_caller("orders", [
        "--requests", "dispatch:0:one_time:120", "--seconds", 14])
    time.sleep(2)
    for _ in range(STOPS):
        c.note("fault", what="upstream_crash", service="dispatch",
               upstream="dispatch-1")
        c.upstream("stop dispatch-1")
        time.sleep(1.2)
        c.upstream("start dispatch-1")
        time.sleep(1)
    caller.wait(40)
    run = {e["req"] for e in c.events("run")}
    unknown = [e["req"] for e in c.events("outcome")
               if e["outcome"] == "UNKNOWN"]
    under_way = under_way_at_a_stop(c)
    never_taken = [r for r in unknown if r not in run and r not in under_way]
    unopened = sum(vm.forwarder.log().count("reason=connection ")
                   for vm in c.vms)
    print(f"{len(unknown)} unknown, {len(never_taken)} of them never taken, "
          f"{unopened} decisions about a connection")
    t.expect(not never_taken, f"UNKNOWN but never taken: {never_taken}")
    t.expect(len(unknown) <= STOPS * TAKEN_PER_STOP, f"{len(unknown)} UNKNOWN")
    t.expect(unopened > 0, "no request met the stopped upstream")
    t.check(c)


if __name__ == "__main__":
    common.run(body, __file__)
