"""Configurations change while VMs are killed and stopped, many at a time, the
store forgets its history and some lose it.  Guards against a VM in touch with
the store that still has an old configuration when its time is up.

The environment makes other and longer runs: SEED, SECONDS, VMS_A_ZONE, BLOCK
for several at a time, CONFIG_S for the bound of a larger fleet, and POWER for
losses of power right after a change alone."""

import asyncio
import os
import pathlib
import random
import re
import signal
import sys

sys.path.append(str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from entry_fleet import run  # noqa: E402
from fleet import CONFIG_S as DEFAULT_S  # noqa: E402

SEED = int(os.environ.get("SEED", 1))
SECONDS = float(os.environ.get("SECONDS", 50))
VMS_A_ZONE = int(os.environ.get("VMS_A_ZONE", 4))
CONFIG_S = float(os.environ.get("CONFIG_S", DEFAULT_S))
BLOCK = int(os.environ.get("BLOCK", 113))
LINKS_MBPS = (10, 50, 200, 1000)


class Log:
    """The versions that the log of a VM names, read as it grows."""

    def __init__(self, vm):
        self.vm = vm
        self.at = 0
        self.rest = ""
        self.version = 0

    def read(self):
        """The version in force since the last start, 0 if there is none."""
        with open(self.vm.log, errors="replace") as log:
            log.seek(self.at)
            text = self.rest + log.read()
            self.at = log.tell()
        whole, _, self.rest = text.rpartition("\n")
        for line in whole.splitlines():
            if " started " in line:
                self.version = 0
            found = re.search(r" configuration version=(\d+) ", line)
            if found:
                self.version = int(found[1])
        return self.version


def some(rng, vms):
    """From one VM to all of them."""
    return rng.sample(vms, max(1, int(len(vms) * rng.random() ** 2)))


async def kill(fleet, rng):
    """All at once; each is back after its own time."""
    killed = rng.choice([some(rng, fleet.vms), fleet.vms,
                         [v for v in fleet.vms if v not in fleet.seeds]])
    for vm in killed:
        vm.disturb(1)
        vm.kill(signal.SIGKILL)


async def stop(fleet, rng):
    for vm in some(rng, fleet.vms)[:5]:
        vm.disturb(8)
        vm.kill(signal.SIGTERM)
        await asyncio.sleep(rng.uniform(0, 1))


async def pause(fleet, rng):
    paused = some(rng, fleet.vms)
    seconds = rng.uniform(0.5, 4)
    for vm in paused:
        vm.disturb(seconds)
        vm.kill(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    for vm in paused:
        vm.kill(signal.SIGCONT)
        vm.disturb()


async def forget(fleet, rng):
    del rng
    fleet.store.forget_history()


async def lose_store(fleet, rng):
    cut = some(rng, fleet.vms)
    seconds = rng.uniform(0.5, 4)
    mode = rng.choice(["refuse", "silent"])
    for vm in cut:
        vm.disturb(seconds)
        vm.proxy.mode = mode
    await asyncio.sleep(seconds)
    for vm in cut:
        vm.proxy.mode = ""
        vm.disturb()


async def configure(fleet, rng):
    fleet.configure(rng.choice([0, 3, 3, 300]))


async def trouble(fleet, rng):
    """Faults and changes, alone or close together, then a pause."""
    while "POWER" in os.environ:
        await power_off(fleet, rng)
        await asyncio.sleep(rng.uniform(9, 12))
    while True:
        for _ in range(rng.choice([1, 2, 2, 3])):
            fault = rng.choice([kill, kill, stop, pause, forget, lose_store,
                                configure, configure])
            print(f"{fleet.now():.2f} {fault.__name__}")
            asyncio.ensure_future(fault(fleet, rng))
            await asyncio.sleep(rng.choice([0, 0.01, 0.1, 0.5]))
        await configure(fleet, rng)
        print(f"{fleet.now():.2f} configure")
        await asyncio.sleep(rng.choice([1, 3, 8, 15]))


async def power_off(fleet, rng):
    """All processes end right after a change; each is back soon."""
    for _ in range(rng.choice([1, 2, 5])):
        fleet.configure(rng.choice([3, 300]))
        await asyncio.sleep(rng.choice([0, 0.1]))
    for vm in fleet.vms:
        vm.disturb(1)
        vm.kill(signal.SIGKILL)


async def check(fleet):
    """Each VM that is calm has what was acknowledged CONFIG_S ago."""
    logs = [Log(vm) for vm in fleet.vms]
    seen = set()
    while True:
        await asyncio.sleep(0.25)
        due = max((version for at, version, _ in fleet.history
                   if at < fleet.now() - CONFIG_S), default=0)
        for log in logs:
            version = log.read()
            if version < due and log.vm.calm() \
                    and (log.vm.name, due) not in seen:
                seen.add((log.vm.name, due))
                fleet.broken(f"{log.vm.name} has version {version}, not {due}")


async def body(fleet):
    rng = random.Random(SEED)
    fleet.store.lag_s = 3.0
    checks = asyncio.ensure_future(check(fleet))
    faults = asyncio.ensure_future(trouble(fleet, rng))
    await asyncio.sleep(SECONDS)
    faults.cancel()
    await asyncio.sleep(CONFIG_S + 2)
    checks.cancel()
    for task in (checks, faults):
        if task.done() and not task.cancelled():
            task.result()


if __name__ == "__main__":
    run(body, __file__, BLOCK, vms_a_zone=VMS_A_ZONE, seeds_a_zone=1,
        links_mbps=LINKS_MBPS)
