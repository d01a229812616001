"""A series of large configurations, all VMs with narrow links.  Guards against
VMs that repeat a watch which brings every version in full, and takes longer
than the watch may, until the store has dropped its history."""

import asyncio
import pathlib
import sys

sys.path.append(str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from entry_fleet import lines, run, wait_until_in_force  # noqa: E402

LINK_MBPS = 10
BYTES_PER_S = LINK_MBPS * 1e6 / 8

# Of a deployment with such links.
CONFIG_S = 5.0

ROUTES = 2400
VERSIONS = 25
GAP_S = 0.06


async def body(fleet):
    for vm in fleet.vms:
        vm.proxy.bytes_per_s = BYTES_PER_S
    fleet.configure(ROUTES)
    await wait_until_in_force(fleet, CONFIG_S)
    await asyncio.sleep(1)
    for n in range(VERSIONS):
        fleet.configure(ROUTES + n + 1)
        await asyncio.sleep(GAP_S)
    await wait_until_in_force(fleet, CONFIG_S)
    assert lines(fleet, " changes-too-large "), "no watch was left for a listing"


if __name__ == "__main__":
    run(body, __file__, 117, links_mbps=(LINK_MBPS,))
