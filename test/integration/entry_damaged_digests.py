"""Datagrams that are no digests of a peer, while the fleet runs: random bytes, a
digest in the name of another VM, one that claims a revision far ahead.  Guards
against a VM that ends, or that follows no change any more."""

import asyncio
import pathlib
import random
import socket
import sys

sys.path.append(str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from entry_fleet import lines, run, wait_until_in_force  # noqa: E402
from fleet import CONFIG_S, PEERS_PORT  # noqa: E402
from packets import number  # noqa: E402

FAR_REVISION = 1 << 60
SEED = 1


def varint(n):
    out = b""
    while n > 0x7f:
        out += bytes([n & 0x7f | 0x80])
        n >>= 7
    return out + bytes([n])


def field(index, value):
    """One field of a protobuf message: a number, or bytes."""
    if isinstance(value, int):
        return varint(index << 3) + varint(value)
    return varint(index << 3 | 2) + varint(len(value)) + value


def digest(name, ip, changes=b""):
    """As in proto/fleet.proto, with a revision far ahead."""
    member = field(1, name.encode()) + field(2, 1)
    member += varint(3 << 3 | 5) + number(ip).to_bytes(4, "little")
    member += field(4, PEERS_PORT)
    return (field(1, member) + field(2, FAR_REVISION) + field(3, 1)
            + field(7, 1000) + changes)


def harm(fleet):
    rng = random.Random(SEED)
    item = field(1, b"op/unused") + field(3, FAR_REVISION) + field(4, 1)
    other = fleet.vms[-1]
    messages = [rng.randbytes(rng.randrange(1, 400)) for _ in range(200)]
    messages += [digest(other.name, other.ip),
                 digest(other.name, other.ip, field(8, item) + field(9, 0))]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as s:
        for vm in fleet.vms:
            for message in messages:
                s.sendto(message, (vm.ip, PEERS_PORT))


async def body(fleet):
    harm(fleet)
    await asyncio.sleep(1)
    fleet.configure(3)
    await wait_until_in_force(fleet, CONFIG_S)
    assert not lines(fleet, f"revision={FAR_REVISION}")


if __name__ == "__main__":
    run(body, __file__, 109)
