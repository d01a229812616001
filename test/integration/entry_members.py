"""All VMs of a large data centre start at once, with one seed.  Guards against
VMs that do not know each other for as long as they run: each learned only of
those that the seed knew when it asked, or that introduced themselves."""

import asyncio
import pathlib
import sys
import urllib.request

sys.path.append(str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from entry_fleet import run  # noqa: E402
from fleet import METRICS_PORT  # noqa: E402

VMS = 25
KNOWN_S = 5.0


def peers(vm):
    """Number of VMs that vm knows."""
    url = f"http://{vm.ip}:{METRICS_PORT}/metrics"
    with urllib.request.urlopen(url, timeout=1) as answer:
        for line in answer.read().decode().splitlines():
            if line.startswith("amaranth_peers "):
                return int(float(line.split()[1]))
    raise AssertionError(f"{vm.name} tells no peers")


async def body(fleet):
    loop = asyncio.get_running_loop()
    end = fleet.now() + KNOWN_S
    while fleet.now() < end:
        known = await asyncio.gather(
            *(loop.run_in_executor(None, peers, vm) for vm in fleet.vms))
        if all(n == VMS - 1 for n in known):
            print(f"all know all {fleet.now():.1f} s after the start")
            return
        await asyncio.sleep(0.2)
    raise AssertionError(f"not in {KNOWN_S} s: {sorted(known)}")


if __name__ == "__main__":
    run(body, __file__, 119, zones=1, vms_a_zone=VMS, seeds_a_zone=1)
