"""Frame of the integration tests of amaranth-entry."""

import asyncio
import os
import pathlib
import shutil
import sys
import tempfile
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / "platform" / "standin")]

from fleet import Fleet  # noqa: E402

PROGRAM = pathlib.Path(os.environ.get("AM_BUILD", ROOT / "build"),
                       "amaranth-entry")


def lines(fleet, *words):
    """Log lines of all VMs that hold each of words, oldest first."""
    found = []
    for vm in fleet.vms:
        for line in vm.log.read_text(errors="replace").splitlines():
            if all(w in line for w in words):
                found.append(f"{vm.name} {line}")
    return sorted(found, key=lambda line: line.split()[1])


def in_force(fleet, version):
    """Names of the VMs that have activated this version."""
    return {line.split()[0]
            for line in lines(fleet, f" configuration version={version} ")}


async def wait_until_in_force(fleet, seconds):
    """Fails unless each VM activates the newest version in seconds."""
    names = {vm.name for vm in fleet.vms}
    await wait_for(lambda: in_force(fleet, fleet.version) == names, seconds,
                   f"version {fleet.version} in force on every VM")


async def wait_for(condition, seconds, what):
    """Fails with what unless condition becomes true in seconds."""
    for _ in range(int(seconds / 0.05)):
        if condition():
            return
        await asyncio.sleep(0.05)
    raise AssertionError(f"not in {seconds} s: {what}")


def run(body, file, block, **arguments):
    """Runs body (fleet) on a fresh fleet; exits with 1 on a failure or a
    broken promise."""
    name = pathlib.Path(file).stem
    base = ROOT / "run" / "integration"
    base.mkdir(parents=True, exist_ok=True)
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"{name}-", dir=base))

    async def play():
        fleet = Fleet(PROGRAM, folder, block, 1, **arguments)
        await fleet.start()
        try:
            await wait_for(lambda: all(v.ready for v in fleet.vms), 20,
                           "all VMs ready")
            await body(fleet)
        finally:
            await fleet.stop()
        assert not fleet.failures, "\n".join(fleet.failures)

    try:
        asyncio.run(play())
    except Exception:  # any failure is printed with its evidence
        traceback.print_exc(file=sys.stdout)
        print(f"{name}: FAILED, logs in {folder}")
        sys.exit(1)
    shutil.rmtree(folder, ignore_errors=True)
    print(f"{name}: ok")
