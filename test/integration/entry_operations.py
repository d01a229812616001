"""The three walks of docs/OPERATIONS.md, from a caller's address to the cause:
each brings about its case and finds the lines.  Guards against a complaint
that nobody can explain afterwards."""

import asyncio
import pathlib
import re
import sys

sys.path.append(str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from entry_fleet import ROOT, lines, run, wait_for  # noqa: E402
from fleet import METRICS_PORT, ROUTES  # noqa: E402
from packets import number  # noqa: E402


def field(line, name):
    """The value of name= in line."""
    return re.search(rf" {name}=(\S+)", line).group(1)


def open_flow(fleet, service, host=0):
    flow = fleet.hosts[host].open_flow((number(fleet.route_ip()),
                                        ROUTES[service][0]))
    return flow, f"caller={flow.host.ip}:{flow.port} "


async def frozen_feed(fleet):
    """A feed froze: its target had died."""
    flows = []
    for host in range(3):
        for _ in range(8):
            flow, caller = open_flow(fleet, "feed", host)
            assert await flow.connect()
            flows.append((flow, caller))
    flow, caller = flows[0]
    placed = lines(fleet, caller, "reason=placed")
    await wait_for(lambda: lines(fleet, caller, "reason=placed"), 1, "placed")
    placed = lines(fleet, caller, "reason=placed")[0]
    target = field(placed, "target")
    dead = fleet.targets[int(target, 16)]
    fleet.end_target(dead)

    async def ask(f):
        fleet.kinds["r0"] = ("feed", "idempotent")
        await f.ask("r0 idempotent", 2.5)

    await asyncio.gather(*(ask(f) for f, _ in flows))
    # Its flows at one VM were reset; this caller's or a neighbour's.
    silent = lines(fleet, f"target={target} ", "reason=target_silent")
    assert silent, "no reset of a flow of the dead target"
    fleet.store.remove(dead.key)
    await wait_for(lambda: lines(fleet, f"id={target} ", "state=gone"), 4,
                   "the target is gone")
    for f, _ in flows:
        f.close()


async def refused_order(fleet):
    """An order was refused: no target took new flows."""
    for t in fleet.targets_of("orders"):
        t.state = "draining"
        fleet.store.put(t.key, t.entry())
    await asyncio.sleep(1)
    flow, caller = open_flow(fleet, "orders")
    begin = fleet.now()
    assert not await flow.connect()
    assert fleet.now() - begin < 0.2, "the final answer came late"
    await wait_for(lambda: lines(fleet, caller, "reason=no_target"), 1,
                   "the refusal")
    assert lines(fleet, "target id=", "state=draining", "before=ready")
    for t in fleet.targets_of("orders"):
        t.state = "ready"
        fleet.store.put(t.key, t.entry())
    await asyncio.sleep(1)


async def late_drawing(fleet):
    """A drawing came late: the first target left the SYN unanswered."""
    for t in fleet.targets_of("archive", near=fleet.vms[0]):
        fleet.lost |= {(v.ip, t.address[0]) for v in fleet.vms}
    flow, caller = open_flow(fleet, "archive")
    assert not await flow.connect()
    await wait_for(lambda: lines(fleet, caller, "reason=syn_unanswered"), 1,
                   "the reset of the first attempt")
    first = lines(fleet, caller, "reason=placed ")[0]
    reset = lines(fleet, caller, "reason=syn_unanswered")[0]
    assert field(first, "target") == field(reset, "target")
    assert float(reset.split()[1]) - float(first.split()[1]) >= 0.15
    again, caller = open_flow(fleet, "archive")
    while not await again.connect():
        again, caller = open_flow(fleet, "archive")
    # Its data centre has no other target of this service.
    await wait_for(lambda: lines(fleet, caller, "reason=placed_elsewhere "), 1,
                   "the second target")
    second = lines(fleet, caller, "reason=placed_elsewhere ")[0]
    assert field(first, "target") != field(second, "target")
    fleet.lost.clear()
    again.close()


async def read_metrics(vm):
    """The text that vm serves."""
    reader, writer = await asyncio.open_connection(vm.ip, METRICS_PORT)
    writer.write(b"GET /metrics HTTP/1.1\r\nConnection: close\r\n\r\n")
    text = (await asyncio.wait_for(reader.read(), 2)).decode()
    writer.close()
    return text


async def total(fleet, name):
    """The sum of a metric, with its labels, over all VMs."""
    found = 0.0
    for vm in fleet.vms:
        for line in (await read_metrics(vm)).splitlines():
            if line.startswith(name + " "):
                found += float(line.split()[-1])
    return found


async def metrics(fleet):
    """Counters and histograms are there, and a client that hangs or sends
    garbage does not take them away.  Guards against alerts that never see the
    names of docs/OPERATIONS.md."""
    vm = fleet.vms[0]
    hanging = await asyncio.open_connection(vm.ip, METRICS_PORT)
    hanging[1].write(b"GET /met")
    garbage = await asyncio.open_connection(vm.ip, METRICS_PORT)
    garbage[1].write(b"\x00\xff\r\n\r\n")
    text = await read_metrics(vm)
    page = (ROOT / "docs" / "OPERATIONS.md").read_text()
    names = set(re.findall(r"amaranth_[a-z_]+", page))
    assert len(names) > 5
    for name in names:
        assert re.search(rf"^{name}(_total|_bucket)?[{{ ]", text, re.M), name
    for _, end in (hanging, garbage):
        end.close()


async def store_calls(fleet):
    """Calls to the store are counted by kind and outcome, and the ages of what
    decides are measured.  Guards against an outage of the store that no metric
    tells from a slow one."""
    for kind in ("targets", "configuration", "watch"):
        assert await total(
            fleet, f'amaranth_store_calls_total{{kind="{kind}",outcome="ok"}}')
    for fault, outcome in (("busy", "refused"), ("reset", "connection")):
        failed = f'amaranth_store_calls_total{{kind="watch",outcome="{outcome}"}}'
        before = await total(fleet, failed)
        fleet.store.fault = fault
        await asyncio.sleep(3)
        fleet.store.fault = ""
        assert await total(fleet, failed) > before, outcome
    for name in ("decide_seconds", "target_list_age_seconds"):
        assert await total(fleet, f"amaranth_{name}_count{{}}"), name
    assert await total(fleet, "amaranth_configuration_age_ms") > 0


async def body(fleet):
    await frozen_feed(fleet)
    await refused_order(fleet)
    await late_drawing(fleet)
    await metrics(fleet)
    await store_calls(fleet)
    starts = lines(fleet, " started version=")
    assert len(starts) == len(fleet.vms), "one line at each start"


if __name__ == "__main__":
    run(body, __file__, 101)
