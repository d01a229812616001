"""Design 6, logs: each routing or placement decision is one line with stable
fields, `event` first, and amaranthctl explain finds those of one flow or
request on all entry VMs.  Guards against decisions that operators cannot see,
and against lines that scripts cannot read."""

import concurrent.futures
import os
import re
import signal
import time
import urllib.request

import common
from cluster import wait_until

BLOCKS = range(70, 80)
LINE = re.compile(r"<[3-7]>amaranth-(forwarder|agent)\[\d+\]: "
                  r"event=([a-z_]+)((?: [a-z_]+=\S*)*)")
ON_FLOW = {"flow", "service", "revision"}
ON_REQUEST = {"request", "flow", "service", "revision"}

# Decisions that the run below makes, and the fields that each must have.
REQUIRED = {
    "open": ON_FLOW | {"upstream", "policy", "attempt"},
    "opened": ON_FLOW | {"upstream"},
    "open_refused": ON_FLOW | {"reason"},
    "forward": ON_FLOW | {"to", "reason"},
    "renewed": ON_FLOW | {"key"},
    "issued": ON_REQUEST | {"class"},
    "request_sent": ON_REQUEST | {"upstream", "policy", "waited_us"},
    "request_refused": ON_REQUEST | {"upstream", "reason", "moves"},
    "request_ended": ON_REQUEST | {"state", "reason"},
    "upstream_state": {"service", "upstream", "state", "revision"},
    "config_accepted": {"record", "revision"},
    "config_refused": {"record", "revision", "error"},
    "snapshot": {"digest", "result"},
    "snapshot_sent": {"digest"},
    "delta": {"base", "digest", "result"},
    "delta_sent": {"base", "digest"},
    "log_level": {"level"},
    "settings_read": set(),
}

# The load goes on until it is stopped: with a fixed length of 14 s it ended
# before the last steps when other tests held the processors.
LOAD_SECONDS = 300
DECISIONS_SECONDS = 30

# One upstream with three connections: most of ten flows are refused.
LIMITED = {"name": "limited", "upstreams": 1, "connections": 3}


def lines(t, c):
    """(event, fields, text) of each line of forwarders and agents."""
    for path in sorted([*c.logs.glob("forwarder-*.log"),
                        *c.logs.glob("agent-*.log")]):
        for text in path.read_text(errors="replace").splitlines():
            match = LINE.fullmatch(text)
            t.expect(match, f"{path.name}: not key=value: {text}")
            fields = dict(f.split("=", 1) for f in match[3].split())
            yield match[2], fields, text


def check_lines(t, c):
    for event, fields, text in lines(t, c):
        missing = REQUIRED.get(event, set()) - set(fields)
        t.expect(not missing, f"{sorted(missing)} missing: {text}")


def unseen(t, c):
    """Required decisions that no line tells of yet."""
    return sorted(REQUIRED.keys() - {event for event, _, _ in lines(t, c)})


def first(t, c, event, **wanted):
    """Fields of the first line of EVENT with the WANTED fields."""
    for name, fields, _ in lines(t, c):
        if name == event and wanted.items() <= fields.items():
            return fields
    t.expect(False, f"no {event} line with {wanted}")


def explain(c, number, vm):
    done = c.ctl("explain", number, vm=vm, check=False)
    return done.returncode, done.stdout


def check_explain(t, c):
    """A flow by its id, a request by both of its ids, asked of any agent and
    at the same time."""
    flow = first(t, c, "opened", service="dispatch")["flow"]
    sent = first(t, c, "request_sent", service="dispatch")
    wanted = {flow: ["event=open ", "event=opened "],
              sent["request"]: ["event=issued ", "event=request_sent ",
                                "event=request_ended "],
              sent["flow"]: ["event=issued ", "event=request_sent "]}
    with concurrent.futures.ThreadPoolExecutor(9) as pool:
        asked = [(number, pool.submit(explain, c, number, vm))
                 for number in wanted for vm in c.vms]
        for number, answer in asked:
            status, text = answer.result()
            t.expect(status == 0, f"explain {number}: {status}: {text}")
            for event in wanted[number]:
                t.expect(event in text, f"{number}: no {event} in {text}")
            t.expect(all(f"={number}" in line for line in text.splitlines()),
                     f"explain {number}: other lines in {text}")
    status, _ = explain(c, 2 ** 63 + 12345, c.vms[0])
    t.expect(status == os.EX_DATAERR, f"unknown id: {status}")


def counter(vm, name):
    """The value of one metric of a forwarder."""
    url = f"http://{vm.address}:7003/metrics"
    with urllib.request.urlopen(url, timeout=5) as answer:
        text = answer.read().decode()
    return int(float(re.search(rf"^{name} (\S+)$", text, re.M)[1]))


def check_held_back(t, c):
    """More opens a second than lines are written: the lines and those that
    are said to be held back are as many as the flows."""
    storm = c.start_caller("storm", ["--flows", "dispatch:1800", "--open-rate",
                                     1800, "--seconds", 3])
    storm.wait(30)
    time.sleep(2.5)
    for vm in c.vms:
        log = vm.forwarder.log()
        written = log.count("event=opened ")
        held = sum(int(n) for n in re.findall(
            r"event=held_back kind=opened lines=(\d+)", log))
        opens = counter(vm, "amaranth_opens_total")
        t.expect(held > 0, f"{vm.name}: nothing held back of {opens}")
        t.expect(written + held == opens, f"{vm.name}: {written} lines and "
                 f"{held} held back of {opens}")


def change_level(t, c):
    """log-level and SIGHUP change what is written, without a restart."""
    vm = c.vms[0]
    c.ctl("log-level", "error", vm=vm)
    time.sleep(0.3)
    before = len(vm.forwarder.log())
    time.sleep(1)
    t.expect(len(vm.forwarder.log()) == before, "lines at level error")
    c.ctl("log-level", "info", vm=vm)
    wait_until(lambda: len(vm.forwarder.log()) > before, 5, "lines again")
    settings = vm.settings.read_text()
    vm.settings.write_text(settings.replace("decisions: true",
                                            "decisions: false"))
    vm.forwarder.signal(signal.SIGHUP)
    time.sleep(0.5)
    before = vm.forwarder.log().count("event=request_sent")
    time.sleep(1)
    t.expect(vm.forwarder.log().count("event=request_sent") == before,
             "decisions that SIGHUP switched off")
    vm.settings.write_text(settings)
    vm.forwarder.signal(signal.SIGHUP)
    vm.agent.signal(signal.SIGHUP)
    wait_until(lambda: "event=settings_read" in vm.agent.log(), 5, "SIGHUP")


def body(t):
    c = t.cluster(blocks=BLOCKS, services=[*common.SERVICES, LIMITED])
    c.start()
    check_held_back(t, c)
    load = c.start_caller("load", [
        "--flows", "dispatch:20", "--open-rate", 40,
        "--requests", "dispatch:0:one_time:30", "--seconds", LOAD_SECONDS])
    c.start_caller("burst", ["--flows", "limited:10", "--open-rate", 100,
                             "--seconds", 2])
    time.sleep(2)
    check_explain(t, c)
    c.upstream("shed * 100")
    wait_until(lambda: "request_refused" not in unseen(t, c),
               DECISIONS_SECONDS, "a refused request", 0.25)
    c.upstream("shed * 0")
    c.leave("dispatch", "dispatch-1")
    c.upstream("drain dispatch-2")
    c.store_fault(snapshot="old")
    c.apply("dispatch", weights={"dispatch-3": 55})
    c.wait_in_force()
    c.ctl("keys", "rotate")
    time.sleep(2)
    change_level(t, c)
    c.store_fault(restore="old")
    end = time.monotonic() + DECISIONS_SECONDS
    while unseen(t, c) and time.monotonic() < end:
        time.sleep(0.25)
    t.expect(not unseen(t, c), f"no line of {unseen(t, c)}")
    t.expect(load.running(), "the load ended before the last decision")
    load.stop()
    c.stop_vm(c.vms[2])
    check_lines(t, c)


if __name__ == "__main__":
    common.run(body, __file__)
