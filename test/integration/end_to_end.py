"""Promises 2 to 5: feeds, one-time and repeatable requests over the whole
path.  Guards against an answer or alert that is lost, crossed or doubled when
nothing fails."""

import common


def body(t):
    c = t.cluster()
    c.start()
    caller = c.start_caller("load", [
        "--flows", "dispatch:60", "--open-rate", 60,
        "--requests", "dispatch:0:one_time:40",
        "--requests", "archive:0:repeatable:20", "--seconds", 6])
    caller.wait(40)
    g = t.check(c)
    t.expect(g["flows_opened"] >= 60, f"flows opened: {g['flows_opened']}")
    t.expect(g["broken"] == 0, f"broken: {g['broken']}")
    t.expect(g["alerts"] > 0, "no alert was received")
    t.expect(g["requests"] >= 200, f"requests: {g['requests']}")
    t.expect(g["answered"] == g["requests"],
             f"answered {g['answered']} of {g['requests']}")
    t.expect_alive(c)


if __name__ == "__main__":
    common.run(body, __file__)
