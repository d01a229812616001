"""The store forgets its history just after a change.  Guards against a VM that
keeps the old configuration because a claim of a reader that is seconds old
counts as a confirmation of it: readers tell seeds of other data centres only
seldom which revision they have."""

import asyncio
import os
import pathlib
import sys

sys.path.append(str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from entry_fleet import lines, run, wait_for  # noqa: E402
from fleet import CONFIG_S  # noqa: E402

VMS_A_ZONE = int(os.environ.get("VMS_A_ZONE", 2))

# By then a reader has dropped the VMs of other data centres that it has not
# heard of, and names its longest interval to the seeds.
SETTLED_S = 45


def in_force(fleet, version):
    """Names of the VMs that have activated this version."""
    return {line.split()[0]
            for line in lines(fleet, f" configuration version={version} ")}


async def body(fleet):
    await asyncio.sleep(SETTLED_S)
    for _ in range(3):
        fleet.configure(3)
        fleet.store.forget_history()
        names = {vm.name for vm in fleet.vms}
        await wait_for(lambda: in_force(fleet, fleet.version) == names,
                       CONFIG_S, "the new version on every VM")
        await asyncio.sleep(5)


if __name__ == "__main__":
    run(body, __file__, int(os.environ.get("BLOCK", 112)), vms_a_zone=VMS_A_ZONE, seeds_a_zone=1)
