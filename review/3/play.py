"""Old targets are full, new ones are added; many users come at once."""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from world import ZONES, main  # noqa: E402

MAX_CONNS = 30
SERVICES = {"dispatch": (8443, "idempotent"), "drawings": (8444, "download")}


async def play(make, trouble):
    w = make(SERVICES, max_conns=MAX_CONNS)
    for zone in ZONES:
        for _ in range(3):
            await w.add_target("dispatch", zone, max_conns=MAX_CONNS,
                               work_s=lambda r: random.uniform(.01, .08))
        for _ in range(2):
            await w.add_target("drawings", zone, max_conns=MAX_CONNS,
                               work_s=lambda r: .005)
    await w.start()
    await w.ready()
    base = int(0.75 * 9 * MAX_CONNS)
    w.add_users(base, "dispatch", 4.0, True)
    w.add_users(36, "drawings", 1.0, False)
    await asyncio.sleep(10)
    if trouble:
        w.note("burst")
        w.add_users(int(0.7 * base), "dispatch", 1.0, True,
                    until_s=w.now() + 3)
    await asyncio.sleep(12)
    return {"left unanswered, being full": sum(t.refused for t in w.targets),
            "most": [t.most for t in w.targets if t.service == "dispatch"]}


main(play, FOLDER)
