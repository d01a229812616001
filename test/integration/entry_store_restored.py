"""The store comes back from an older copy, again and again, each time after a
change of the configuration, a target that left and one that is new.  Guards
against VMs that ignore what is written afterwards, as its revisions are not
above those that they have seen, against an older configuration, resets of open
flows, and new flows to targets that left."""

import asyncio
import pathlib
import sys

sys.path.append(str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from entry_fleet import lines, run, wait_until_in_force  # noqa: E402
from fleet import CONFIG_S, DRAIN_S  # noqa: E402

DRILLS = 10
COPY_MAX_S = 10
CHANGE_S = 2.0  # from the changes to the drill
SETTLE_S = 2.0


def versions(fleet, vm):
    """The versions that a VM has activated, in order."""
    return [int(line.split("configuration version=")[1].split()[0])
            for line in lines(fleet, " configuration version=")
            if line.startswith(vm.name + " ")]


async def leave(fleet, service):
    """A target of service has left, and another one is new."""
    old = fleet.targets_of(service)[0]
    await fleet.add_target(service, old.zone)
    old.state = "draining"
    fleet.store.put(old.key, old.entry())
    fleet.drained[old.id] = fleet.now()
    await asyncio.sleep(DRAIN_S + 0.2)
    fleet.end_target(old)
    fleet.store.remove(old.key)


async def body(fleet):
    fleet.store.copies_s = COPY_MAX_S + 2
    fleet.start_users()
    await asyncio.sleep(CHANGE_S)
    for drill in range(DRILLS):
        await leave(fleet, "feed" if drill % 2 else "archive")
        fleet.configure(drill)
        await asyncio.sleep(CHANGE_S)
        await fleet.restore_store(drill + 1)
        fleet.configure(drill)
        await wait_until_in_force(fleet, CONFIG_S)
        await asyncio.sleep(SETTLE_S)
    begin = fleet.now()
    await asyncio.sleep(SETTLE_S)
    assert fleet.share_served(begin) > 0.9, fleet.share_served(begin)
    for vm in fleet.vms:
        seen = versions(fleet, vm)
        assert seen == sorted(seen), f"{vm.name} activated {seen}"
    restored = lines(fleet, " store-restored ")
    assert len(restored) == DRILLS * len(fleet.vms), f"{len(restored)} lines"


if __name__ == "__main__":
    run(body, __file__, 118)
