"""Design 1.4, two operators race to change one record in different schema
versions.  Guards against a lost update and against fields of schema 2 that a
writer of schema 1 drops."""

import concurrent.futures

import common

TEMPFAIL = 75


def attempt(c, vm, *command):
    """Tries again after a conflict."""
    for _ in range(10):
        done = c.write(*command, vm=vm, check=False)
        if done.returncode != TEMPFAIL:
            return done
    return done


def body(t):
    c = t.cluster()
    c.start()
    for turn in range(5):
        before = c.store_records()["dispatch"]
        first, second = f"dispatch-{turn % 3 + 1}", f"dispatch-{(turn + 1) % 3 + 1}"
        spec = c.services["dispatch"]
        text = c._record_text(dict(spec, schema=1, request="one_time",
                                   deadline_ms=3000,
                                   states={first: "leaving"}), 3, False)
        old = c.folder / f"schema-1-{turn}.yaml"
        old.write_text(text + f"revision: {before['revision']}\n")
        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            a = pool.submit(attempt, c, c.vms[0], "apply", old)
            b = pool.submit(attempt, c, c.vms[1], "upstream", "leave",
                            "dispatch", second)
            a, b = a.result(), b.result()
        after = c.store_records()["dispatch"]
        states = {u["name"]: u.get("state", "active")
                  for u in after["upstreams"]}
        detail = (f"turn {turn}: apply {a.returncode} {a.stderr.strip()} "
                  f"leave {b.returncode} {b.stderr.strip()} {states}")
        t.expect(b.returncode == 0, detail)
        t.expect(states[second] == "leaving", f"lost update: {detail}")
        accepted = sum(1 for d in (a, b) if d.returncode == 0)
        t.expect(after["revision"] - before["revision"] <= accepted,
                 f"doubled update: {detail}")
        if a.returncode == 0:
            t.expect(states[first] == "leaving", f"lost update: {detail}")
        t.expect(after.get("objective") == before.get("objective"),
                 f"field of schema 2 lost: {detail} {after}")
        c.services["dispatch"]["states"] = {}
        c.write_record("dispatch")
        c.write("apply", c.records / "dispatch.yaml")


if __name__ == "__main__":
    common.run(body, __file__)
