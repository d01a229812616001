"""Design 1.4, an answer of the store is lost after the write took effect; 5,
the writer reads back and never writes blindly again.  Guards against a
doubled revision and against a write that is reported as failed."""

import common


def body(t):
    c = t.cluster()
    c.start()
    for i in range(3):
        before = c.revisions()["dispatch"]
        c.store_fault(lose_answers=1)
        done = c.write("upstream", "leave", "dispatch", f"dispatch-{i + 1}",
                     check=False)
        detail = f"status {done.returncode}: {done.stderr.strip()}"
        t.expect(done.returncode == 0, detail)
        record = c.store_records()["dispatch"]
        t.expect(record["revision"] == before + 1,
                 f"revision {record['revision']} after {before}: {detail}")
        states = {u["name"]: u.get("state") for u in record["upstreams"]}
        t.expect(states[f"dispatch-{i + 1}"] == "leaving", str(states))
    c.wait_in_force()


if __name__ == "__main__":
    common.run(body, __file__)
