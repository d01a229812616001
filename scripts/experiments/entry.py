"""amaranth-entry on the stand-ins of its platform: open feeds through the loss
of one, two and all VMs, a configuration, a drain."""

import asyncio
import pathlib
import signal
import sys

from cluster import ROOT
from experiment import EXPERIMENT_BLOCKS, lock_block

sys.path.append(str(ROOT / "test" / "lib"))
import entry_fleet  # noqa: E402
from fleet import ROUTES, Fleet  # noqa: E402
from packets import number  # noqa: E402

DESCRIPTION = "feeds survive lost VMs; configuration and drain reach all"
POLICIES = ("entry",)

CONFIG_BOUND = 6.0
READY_SECONDS = 20
ANSWER_SECONDS = 8.0
POLL_SECONDS = 0.05


class Feeds:
    """Open flows that are asked again and again."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.flows = []
        self.asked = 0

    async def open(self, count):
        route = number(self.fleet.route_ip()), ROUTES["feed"][0]
        for i in range(count):
            host = self.fleet.hosts[i % len(self.fleet.hosts)]
            flow = host.open_flow(route)
            if not await flow.connect():
                raise RuntimeError(f"feed {i} did not open")
            self.flows.append(flow)

    async def ask(self, flow):
        """Time of the answer, or None."""
        self.asked += 1
        name = f"feed-{self.asked}"
        self.fleet.kinds[name] = ("feed", "idempotent")
        answer = await flow.ask(f"{name} idempotent", ANSWER_SECONDS)
        return self.fleet.now() if answer else None

    async def ask_all(self):
        """Asks on each feed; returns the times of answers and the number
        without one."""
        times = await asyncio.gather(*(self.ask(f) for f in self.flows))
        answered = [t for t in times if t is not None]
        return answered, len(times) - len(answered)


async def lose(fleet, feeds, vms):
    """Kills vms; returns the seconds until the last feed was answered and the
    number of broken feeds."""
    begin = fleet.now()
    for vm in vms:
        vm.disturb(1)
        vm.kill(signal.SIGKILL)
    answered, broken = await feeds.ask_all()
    await entry_fleet.wait_for(lambda: all(v.ready for v in fleet.vms),
                               READY_SECONDS, "all VMs ready again")
    return max(answered, default=begin) - begin, broken


async def configure(fleet):
    """Seconds until a new version is in force on each VM."""
    fleet.configure(3)
    begin = fleet.now()
    words = f" configuration version={fleet.version} "

    def in_force():
        return {line.split()[0] for line in entry_fleet.lines(fleet, words)}

    while len(in_force()) < len(fleet.vms):
        if fleet.now() - begin > 2 * CONFIG_BOUND:
            break
        await asyncio.sleep(POLL_SECONDS)
    return fleet.now() - begin


async def play(x, fleet):
    await fleet.start()
    await entry_fleet.wait_for(lambda: all(v.ready for v in fleet.vms),
                               READY_SECONDS, "all VMs ready")
    fleet.start_users()
    feeds = Feeds(fleet)
    await feeds.open(x.pick(300, 60))
    broken = 0
    for name, vms in (("one", fleet.vms[:1]), ("two", fleet.vms[1:3]),
                      ("all", fleet.vms)):
        x.say(f"loss of {name}")
        seconds, lost = await lose(fleet, feeds, vms)
        x.figures[f"answered_after_loss_of_{name}_s"] = round(seconds, 2)
        broken += lost
    x.figures["broken_feeds"] = broken
    x.figures["config_in_force_s"] = round(await configure(fleet), 2)
    x.say("drain")
    await fleet.drain(fleet.targets_of("orders")[0])
    await fleet.stop()


def run(x):
    folder = pathlib.Path(x.folder)
    block, held = lock_block(EXPERIMENT_BLOCKS)
    with held:
        fleet = Fleet(ROOT / "build" / "amaranth-entry", folder, block,
                      x.seed, vms_a_zone=x.pick(3, 2))
        asyncio.run(play(x, fleet))
    x.violations += fleet.failures
    x.figures["violations"] = len(fleet.failures)
    x.figures["asked"] = fleet.stats["asked"]
    x.figures["served"] = fleet.stats["served"]
    x.bound("broken_feeds", "==", 0)
    x.bound("config_in_force_s", "<=", CONFIG_BOUND)
    x.bound("violations", "==", 0)
    return x.result()
