"""A data centre is evacuated while the VM that reads the store for another one
is paused, and while the store has forgotten its history.  Guards against a VM
in contact that sends a new flow there after the bound, and against one that
does not return to it when the order has ended."""

import asyncio
import pathlib
import signal
import sys

sys.path.append(str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from entry_fleet import lines, run, wait_for  # noqa: E402
from fleet import EVACUATE_S  # noqa: E402

ZONE = "zone-1"


async def callers(fleet):
    """Keeps opening flows in each data centre."""
    while True:
        for host in fleet.hosts:
            asyncio.ensure_future(fleet.request(host, "orders"))
        await asyncio.sleep(0.1)


def names(fleet, event, count):
    """VMs whose log has this event at least count times."""
    found = [line.split()[0] for line in lines(fleet, f" {event} ")]
    return {name for name in found if found.count(name) >= count}


async def check_order(fleet, count, paused):
    """Orders the evacuation; each VM but the paused one has it in time.  Then
    takes the data centre back."""
    others = {vm.name for vm in fleet.vms if vm is not paused}
    fleet.evacuate(ZONE)
    await wait_for(lambda: names(fleet, "evacuation-begun", count) >= others,
                   EVACUATE_S, "evacuation begun on each VM")
    await asyncio.sleep(EVACUATE_S + 2)
    fleet.take_back(ZONE)
    await wait_for(lambda: names(fleet, "evacuation-ended", count) >= others,
                   EVACUATE_S, "evacuation ended on each VM")


async def body(fleet):
    load = asyncio.ensure_future(callers(fleet))
    reader = fleet.vms[0]
    await asyncio.sleep(6)
    reader.disturb(60)
    reader.kill(signal.SIGSTOP)
    await check_order(fleet, 1, reader)
    reader.kill(signal.SIGCONT)
    await wait_for(lambda: reader.name in names(fleet, "evacuation-ended", 1)
                   or reader.name not in names(fleet, "evacuation-begun", 1),
                   EVACUATE_S, "no old order on the VM that was paused")
    fleet.store.forget_history()
    await check_order(fleet, 2, reader)
    load.cancel()


if __name__ == "__main__":
    run(body, __file__, 115, vms_a_zone=4, seeds_a_zone=1,
        links_mbps=(1000, 200, 50, 10))
