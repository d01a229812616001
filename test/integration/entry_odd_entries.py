"""Another writer leaves odd entries among those of the targets: nested deeply,
numbers and ports out of range, large ones, odd keys.  Guards against VMs that
end again and again, that stop following the store, or that send flows there."""

import asyncio
import json
import pathlib
import random
import sys

sys.path.append(str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from entry_fleet import lines, run, wait_until_in_force  # noqa: E402
from fleet import CONFIG_S  # noqa: E402

DEEP = 200_000
VALUE_BYTES = 1 << 20
LARGE_AT_ONCE = 20

# The store lists them in this time.
CATCH_UP_S = 8


def entry(**fields):
    """An entry that names a target, but for fields."""
    whole = {"service": "feed", "address": "10.0.0.1:80", "zone": "zone-0",
             "version": "v1", "capacity": 2, "state": "ready", "seq": 1,
             "warmup_left_ms": 0, "born": 1}
    return json.dumps({**whole, **fields}).encode()


def raw(text):
    """The same with a field extra whose value is text as it stands."""
    return entry()[:-1] + b', "extra": ' + text + b"}"


def entries():
    """Values that name no target."""
    for address in ("10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:0",
                    "10.0.0.1:99999999999999999999", "10.0.0.1:8e1",
                    "0.0.0.0:80", "255.255.255.255:80", "10.0.0.1"):
        yield entry(address=address)
    for number in ("9" * 400, "1e999", "-" + "9" * 30):
        for field in ("capacity", "seq", "born", "warmup_left_ms"):
            yield entry(**{field: "N"}).replace(b'"N"', number.encode())
    for text in (b"[" * DEEP, b'{"a":' * DEEP,
                 b"[" * DEEP + b"]" * DEEP + b"}",
                 b'"' + b"x" * (VALUE_BYTES - 1000)):
        yield raw(text)
    yield b"[" * VALUE_BYTES
    yield b"\x00" * VALUE_BYTES
    yield b"x" * VALUE_BYTES


def keys(n):
    """An ordinary key and some odd ones."""
    return [f"servers/i-{0xf0000 + n:x}", f"servers/\x7f\n {n} \u00e9\u4e2d",
            f"servers/{n}" + "k" * 180][n % 3 if n > 8 else 0]


async def body(fleet):
    rng = random.Random(1)
    fleet.start_users()
    await asyncio.sleep(1)
    for n, value in enumerate(entries()):
        fleet.store.put(keys(n), value)
        await asyncio.sleep(0.02)
    for n in range(LARGE_AT_ONCE):
        fleet.store.put(f"servers/i-{0xf1000 + n:x}", rng.randbytes(VALUE_BYTES))
    await asyncio.sleep(CATCH_UP_S)
    fleet.configure(3)
    await wait_until_in_force(fleet, CONFIG_S)
    begin = fleet.now()
    await asyncio.sleep(2)
    assert len(lines(fleet, " started ")) == len(fleet.vms), "a VM ended"
    assert not lines(fleet, "target id=f0"), "an odd entry names a target"
    assert fleet.share_served(begin) > 0.9, fleet.share_served(begin)


if __name__ == "__main__":
    run(body, __file__, 110)
