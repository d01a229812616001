"""Design 1.4, a holder is paused and still acting; promises 4 and 5: a paused
issuer checks deadlines on waking.  Guards against a request that runs after
its caller was told NOT-RUN, or twice."""

import time

import common


def body(t):
    c = t.cluster()
    c.start({"upstream_arguments": ["--service-ms", 30]})
    caller = c.start_caller("load", [
        "--requests", "dispatch:0:one_time:60",
        "--requests", "archive:0:repeatable:10", "--seconds", 12])
    for vm in c.vms[:2]:
        time.sleep(1)
        c.note("fault", what="pause")
        vm.forwarder.pause()
        time.sleep(4)
        vm.forwarder.resume()
    caller.wait(50)
    g = t.check(c)
    t.expect(g["requests"] > 500, f"requests {g['requests']}")
    t.expect(g["answered"] > g["requests"] // 4,
             f"answered {g['answered']} of {g['requests']}")
    t.expect(g["doubled"] + g["false_not_run"] == 0, str(g))


if __name__ == "__main__":
    common.run(body, __file__)
