"""Owners of ticketless requests, for tests and experiments."""

import base64
import json
import urllib.error

from cluster import wait_until

SERVICE = {"name": "dispatch", "upstreams": 3, "binding": "tracked",
           "objective": "broken_flows", "slow_start_ms": 500,
           "classes": [{"id": 0, "name": "order", "kind": "one_time",
                        "weight": 2, "priority": 0, "deadline_ms": 3000,
                        "queue_limit": 64}]}

LOAD = ["--requests", "dispatch:0:one_time:40"]

# Limit for the first owner: 10 s of an unchanged home set, or 30 s of an agent's
# life for a key that an owner held before, and a session of 10 to 20 s.
FIRST_OWNER_SECONDS = 45


def cluster(t):
    """A running cluster with a tracked service of one-time requests."""
    c = t.cluster(services=[SERVICE])
    c.start({"upstream_arguments": ["--service-ms", 30]})
    return c


def owner(c, service="dispatch"):
    """Id of the entry VM that holds the key, or 0."""
    try:
        entry = c.store_get(f"/v1/kv/amaranth/owners/{service}")[0]
    except (urllib.error.URLError, OSError, ValueError, IndexError, TypeError):
        return 0
    if "Session" not in entry:
        return 0
    return json.loads(base64.b64decode(entry["Value"]))["owner"]


def wait_owner(c, t, other=None):
    """Waits for an owner other than OTHER and returns its entry VM."""
    def found():
        held = owner(c)
        return held and (other is None or held != other.id)
    wait_until(found, FIRST_OWNER_SECONDS, "an owner")
    held = owner(c)
    return next(vm for vm in c.vms if vm.id == held)


def expect(t, c, caller):
    """No request ran twice or after NOT-RUN, and most are answered."""
    g = t.check(c)
    print({k: g[k] for k in ("requests", "answered", "not_run", "unknown",
                             "gave_up")}, caller.summary()["requests"])
    t.expect(g["requests"] > 500, f"requests {g['requests']}")
    t.expect(g["doubled"] + g["false_not_run"] == 0, str(g))
    t.expect(g["answered"] > 0, str(g))
    return g
