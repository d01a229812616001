"""A VM that starts while the store turns it away, and one whose store falls
silent.  Guards against a VM that serves nobody, or old knowledge, because it
alone cannot reach the store: its peers have what it needs."""

import asyncio
import pathlib
import signal
import sys

sys.path.append(str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from entry_fleet import lines, run, wait_for  # noqa: E402
from fleet import CONFIG_S, DRAIN_S, ROUTES  # noqa: E402
from packets import number  # noqa: E402


async def body(fleet):
    cut = fleet.vms[0]
    cut.proxy.mode = "refuse"
    cut.kill(signal.SIGKILL)
    # The supervisor may say ready from before the kill for one check.
    await asyncio.sleep(1.5)
    await wait_for(lambda: cut.ready, 5, "ready without the store")
    assert lines(fleet, "pulled revision=", "before=0")

    cut.proxy.mode = "silent"
    fleet.configure(extra=2)
    version = f"configuration version={fleet.version} "
    await wait_for(lambda: any(cut.name in line
                               for line in lines(fleet, version)),
                   CONFIG_S, "the new version without the store")

    victim = fleet.targets_of("archive", near=cut)[0]
    victim.state = "draining"
    fleet.store.put(victim.key, victim.entry())
    await wait_for(lambda: any(cut.name in line for line in lines(
        fleet, f"target id={victim.id:x} ", "state=draining")),
        DRAIN_S, "the drain without the store")

    # The highest version stays, whatever the store says after.
    before = fleet.version
    fleet.put_older_configuration()
    await asyncio.sleep(1.5)
    flow = fleet.hosts[0].open_flow((number(fleet.route_ip()),
                                     ROUTES["feed"][0]))
    assert await flow.connect(), "an older version was taken"
    flow.close()
    assert lines(fleet, "configuration-refused error=revision",
                 f"version_in_force={before}")


if __name__ == "__main__":
    run(body, __file__, 102)
