"""Promise 2 and design 4.2: an upstream's address is used again under a new
incarnation, or by another service.  Guards against a stale ticket that is
delivered to whatever now answers at the address."""

import time

import common

DATA = 65
TEMPFAIL = 75


def body(t):
    c = t.cluster()
    c.start()
    caller = c.start_caller("feeds", [
        "--flows", "dispatch:45", "--open-rate", 90, "--seconds", 10])
    time.sleep(2)
    c.note("fault", what="upstream_crash", service="dispatch",
           upstream="dispatch-1")
    c.upstream("stop dispatch-1")
    text = (c.records / "dispatch.yaml").read_text()
    text = text.replace("incarnation: 1", "incarnation: 2", 1)
    (c.records / "dispatch.yaml").write_text(text)
    c.accepted("dispatch", c.write("apply", c.records / "dispatch.yaml"))
    time.sleep(1)
    restarted = c.events("stop")[-1]["t"]
    c.upstream("start dispatch-1")
    caller.wait(40)
    g = t.check(c)
    t.expect(g["broken"] > 0, "no flow noticed the new incarnation")
    t.expect(g["broken"] == g["broken_excused"], str(g))
    lost = {e["flow"] for e in c.events("broken")}
    stale = [e for e in c.events("flow_data", "alert_sent")
             if e["t"] > restarted and e["flow"] in lost
             and e["upstream"] == "dispatch-1"]
    t.expect(not stale, f"stale flows at the new incarnation: {stale[:3]}")
    other = (c.records / "archive.yaml").read_text().replace(
        c.upstream_address("archive", 0), c.upstream_address("dispatch", 0))
    taken = c.folder / "taken.yaml"
    taken.write_text(other)
    done = c.write("apply", taken, check=False)
    t.expect(done.returncode in (DATA, TEMPFAIL),
             f"address of another service accepted: {done.returncode} "
             f"{done.stdout} {done.stderr}")


if __name__ == "__main__":
    common.run(body, __file__)
