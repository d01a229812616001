"""The settings file names another address of the store, without a signal, and the
old address stops.  Guards against VMs that follow no change any more, since
they read the file only at SIGHUP."""

import asyncio
import pathlib
import sys

sys.path.append(str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from entry_fleet import lines, run, wait_for  # noqa: E402
from entry_fleet import wait_until_in_force  # noqa: E402
from fleet import CONFIG_S, STORE_PORT  # noqa: E402

NEW_PORT = STORE_PORT + 100
# The file is checked once a second.
READ_S = 3


async def body(fleet):
    await fleet.store.start(fleet.ip(1), NEW_PORT)
    for vm in fleet.vms:
        path = fleet.folder / f"{vm.name}.yaml"
        part = path.with_suffix(".part")
        part.write_text(path.read_text().replace(
            f"store: {vm.ip}:{STORE_PORT}",
            f"store: {fleet.ip(1)}:{NEW_PORT}"))
        part.replace(path)
        vm.proxy.mode = "refuse"
    await wait_for(lambda: len(lines(fleet, " reloaded ")) == len(fleet.vms),
                   READ_S, "the file is read again")
    fleet.configure(3)
    await wait_until_in_force(fleet, CONFIG_S)
    (fleet.folder / f"{fleet.vms[0].name}.yaml").write_text("store: [")
    await wait_for(lambda: lines(fleet, " reload-refused "), READ_S,
                   "a file with a fault is refused")
    await asyncio.sleep(2)
    assert len(lines(fleet, " reload-refused ")) == 1, "refused once a version"


if __name__ == "__main__":
    run(body, __file__, 114)
