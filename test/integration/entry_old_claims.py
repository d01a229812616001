"""The store forgets its history just after a change.  Guards against a VM that
keeps the old configuration because a claim of a reader that is seconds old
counts as a confirmation of it: readers tell seeds of other data centres only
seldom which revision they have.  VMS_A_ZONE of the environment makes a larger
fleet."""

import asyncio
import os
import pathlib
import sys

sys.path.append(str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from entry_fleet import run, wait_until_in_force  # noqa: E402
from fleet import CONFIG_S  # noqa: E402

VMS_A_ZONE = int(os.environ.get("VMS_A_ZONE", 2))

# By then a reader has dropped the VMs of other data centres that it has not
# heard of, and names its longest interval to the seeds.
SETTLED_S = 45


async def body(fleet):
    await asyncio.sleep(SETTLED_S)
    for _ in range(3):
        fleet.configure(3)
        fleet.store.forget_history()
        await wait_until_in_force(fleet, CONFIG_S)
        await asyncio.sleep(5)


if __name__ == "__main__":
    run(body, __file__, 112, vms_a_zone=VMS_A_ZONE, seeds_a_zone=1)
