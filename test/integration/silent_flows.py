"""Design 1.4, open flows go silent for good while new ones work: re-opened in
5 s, healthy flows not cut.  Guards against flows that hang unnoticed and
against a remedy that cuts healthy ones."""

import time

import common


def body(t):
    c = t.cluster(upstream_relays=True)
    c.start()
    caller = c.start_caller("feeds", [
        "--flows", "dispatch:80", "--open-rate", 100, "--seconds", 12])
    time.sleep(2.5)
    c.note("fault", what="silence")
    answer = c.relay("udp-relay", "silence 50")
    caller.wait(40)
    g = t.check(c)
    silenced = answer.get("silenced", 0)
    t.expect(silenced >= 10, f"relay silenced {answer}")
    t.expect(g["broken"] <= silenced,
             f"{g['broken']} flows broke, {silenced} were silenced")
    t.expect(g["reopened"] >= silenced,
             f"{g['reopened']} re-opened of {silenced} silenced")
    t.expect(g["silent_reopen_max_ms"] <= 5000,
             f"re-opened after {g['silent_reopen_max_ms']} ms")


if __name__ == "__main__":
    common.run(body, __file__)
