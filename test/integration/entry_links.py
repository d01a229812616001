"""All links between VMs fail while the store answers each of them.  Guards
against a VM that waits for peers it cannot hear, and against an interposer of
the soak that cuts nothing."""

import asyncio
import pathlib
import sys

sys.path.append(str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from entry_fleet import lines, run, wait_for  # noqa: E402
from entry_fleet import wait_until_in_force  # noqa: E402
from fleet import CONFIG_S  # noqa: E402

CUT_S = 4


def regained(fleet):
    return len(lines(fleet, " peer-regained "))


async def body(fleet):
    fleet.set_cuts([(a.ip, b.ip) for a in fleet.vms for b in fleet.vms
                    if a.ip < b.ip])
    await asyncio.sleep(CUT_S)
    before = regained(fleet)
    fleet.configure(3)
    await wait_until_in_force(fleet, CONFIG_S)
    assert regained(fleet) == before, "a link that is cut carries digests"
    fleet.set_cuts([])
    count = len(fleet.vms) * (len(fleet.vms) - 1)
    await wait_for(lambda: regained(fleet) > before, 5,
                   "peers hear each other again")
    print(f"{regained(fleet) - before} of {count} links regained")


if __name__ == "__main__":
    run(body, __file__, 105)
