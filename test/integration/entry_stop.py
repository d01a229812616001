"""Stop of VMs one after the other while callers use them.  Guards against
requests that are cut by a planned stop, and a stop that outlasts its time."""

import asyncio
import pathlib
import signal
import sys

sys.path.append(str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from entry_fleet import lines, run  # noqa: E402


async def body(fleet):
    fleet.start_users()
    await asyncio.sleep(2)
    begin = fleet.now()
    for vm in fleet.vms[:3]:
        vm.kill(signal.SIGTERM)
        await asyncio.sleep(4)
    await asyncio.sleep(2)
    assert fleet.share_served(begin) == 1.0, \
        f"served {fleet.share_served(begin)} of the requests"
    stops = lines(fleet, " stopped after_ms=")
    assert len(stops) >= 3, stops
    for line in stops:
        assert int(line.rsplit("=", 1)[1]) <= 6000, line


if __name__ == "__main__":
    run(body, __file__, 103)
