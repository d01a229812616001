"""Promise 6: a leaving upstream receives no new work after 3 s; 4.6: its open
flows and running requests finish.  Guards against a forwarder that goes on
choosing it, or that cuts what it holds."""

import time

import common


def body(t):
    c = t.cluster()
    c.start()
    feeds = c.start_caller("feeds", [
        "--flows", "dispatch:30", "--open-rate", 100, "--seconds", 11])
    time.sleep(1.5)
    load = c.start_caller("load", [
        "--flows", "dispatch:400", "--open-rate", 50,
        "--requests", "dispatch:0:one_time:50", "--seconds", 8])
    time.sleep(1)
    c.leave("dispatch", "dispatch-2")
    marked = c.events("leaving")[-1]["t"]
    load.wait(40)
    feeds.wait(40)
    g = t.check(c)
    t.expect(g["broken"] == 0, f"broken {g['broken']}")
    t.expect(g["answered"] == g["requests"] > 300,
             f"answered {g['answered']} of {g['requests']}")
    held = {e["flow"] for e in c.events("flow_open")
            if e["upstream"] == "dispatch-2" and e["t"] < marked}
    heard = {e["flow"] for e in c.events("alert")
             if e["flow"] in held and e["t"] > marked + 4_000_000}
    t.expect(held and heard, f"{len(held)} flows of the leaving upstream, "
             f"{len(heard)} of them served 4 s later")


if __name__ == "__main__":
    common.run(body, __file__)
