"""A path forgets half of the open flows."""

import time

from cluster import STIKLSETAS

DESCRIPTION = "silent flows are re-opened in 5 s, healthy ones not cut"
POLICIES = ("local", "two_choices")

BOUND_MS = 5000


def run(x):
    feeds = x.pick(2000, 400)
    rate = x.pick(400, 200)
    seconds = x.seconds(30, 13)
    specs = [dict(STIKLSETAS[0], policy=x.policy), dict(STIKLSETAS[1])]
    with x.cluster(services=specs, upstream_relays=True) as c:
        c.start()
        caller = c.start_caller("feeds", [
            "--flows", f"dispatch:{feeds}", "--open-rate", rate,
            "--seconds", seconds])
        time.sleep(feeds / rate + 1)
        c.note("fault", what="silence")
        answer = c.relay("udp-relay", "silence 50")
        x.say(f"relay: {answer}")
        caller.wait(seconds + 30)
    g = x.check(c)
    silenced = answer.get("silenced", 0)
    x.keep(g, "flows_opened", "broken", "broken_excused", "reopened",
           "stalled", "silent_reopen_max_ms")
    x.figures["silenced"] = silenced
    x.figures["healthy_cut"] = max(0, g["broken"] - silenced)
    x.figures["not_reopened"] = max(0, silenced - g["reopened"])
    x.bound("silenced", ">=", feeds // 4)
    x.bound("healthy_cut", "==", 0)
    x.bound("not_reopened", "==", 0)
    x.bound("silent_reopen_max_ms", "<=", BOUND_MS)
    return x.result()
