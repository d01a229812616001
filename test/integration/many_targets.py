"""Design 4.5 and 7: a service with 100 targets, of which an entry VM uses 64.
Guards against targets without work, against a share of the flows or of the
busy slots that depends on how many entry VMs use a target, and against limits
that are exceeded."""

import time

import common
from experiment import busy_time, max_over_mean, open_flows

TARGETS = 100
FLOWS = 20000
FLOWS_BOUND = 1.05
SLOTS_BOUND = 1.10
SLOTS = 2

# Length of the load: each target runs 5 requests a second, and the spread of
# a measurement of 30 s is more than the bound of the slots allows.
SECONDS = 90

SERVICES = [
    {"name": "booking", "upstreams": TARGETS, "objective": "imbalance",
     "slow_start_ms": 500,
     "classes": [{"id": 0, "name": "reservation", "kind": "one_time",
                  "weight": 2, "priority": 0, "deadline_ms": 5000,
                  "queue_limit": 64}]},
]


def body(t):
    c = t.cluster(vms=7, services=SERVICES, alert_ms=0, decisions=False,
                  log_level="warning")
    c.start({"upstream_arguments": ["--service-ms", 200]})
    time.sleep(1.5)
    load = c.start_caller("load", [
        "--flows", f"booking:{FLOWS}", "--open-rate", 1500, "--ping-ms", 4000,
        "--requests", "booking:0:one_time:530", "--seconds", SECONDS])
    time.sleep(SECONDS - 3)
    stats = c.upstream("stats")["upstreams"]
    load.wait(60)
    events = c.events("run", "done", "flow_open", "flow_close", "opened")
    opened = [e["t"] for e in events if e["ev"] == "opened"]
    held = open_flows(events, stats, opened[-1] + 100_000)
    busy = busy_time(events, stats, opened[0] + 2_000_000,
                     opened[0] + (SECONDS - 2) * 1_000_000)
    flows = max_over_mean(list(held.values()))
    slots = max_over_mean(list(busy.values()))
    print(f"flows {sum(held.values())} max/mean {flows}, slots max/mean "
          f"{slots}, fewest flows {min(held.values())}, least busy "
          f"{min(busy.values()):.2f} s of {sum(busy.values()) / TARGETS:.2f}")
    figures = t.check(c)
    print({k: figures[k] for k in ("answered", "refused", "broken")})
    t.expect(len(stats) == TARGETS, f"{len(stats)} targets")
    t.expect(min(held.values()) > 0, "a target has no flows")
    t.expect(min(busy.values()) > 0, "a target has no requests")
    over = {n: u for n, u in stats.items() if u["busy_max"] > SLOTS}
    t.expect(not over and not c.events("over_limit"), f"over limits: {over}")
    t.expect(sum(held.values()) >= FLOWS, f"{sum(held.values())} flows")
    t.expect(flows <= FLOWS_BOUND, f"flows max/mean {flows}")
    t.expect(slots <= SLOTS_BOUND, f"slots max/mean {slots}")


if __name__ == "__main__":
    common.run(body, __file__)
