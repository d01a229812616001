"""Design 5, membership: the platform's list of VMs is a seed.  Guards against a
fresh VM that never joins because every seed of its settings was replaced."""

import re
import time

import common


def start(c, vm):
    c.start_agent(vm)
    c.start_forwarder(vm)


def body(t):
    c = t.cluster()
    fresh = c.vms[-1]
    for vm in c.vms:
        text = vm.settings.read_text()
        gone = f"    - 127.{c.block}.99.9:7100"
        seeds = gone if vm is fresh else f"    - {c.vms[0].address}:7100"
        vm.settings.write_text(re.sub(r"(?m)(^    - .*:7100\n)+",
                                      seeds + "\n", text))
    c.start_store()
    c.publish_vms()
    for vm in c.vms[:-1]:
        start(c, vm)
    time.sleep(2)
    t.expect(len(c.status(c.vms[0])["members"]) == len(c.vms) - 2,
             "the others did not join")
    start(c, fresh)
    time.sleep(1)
    begin = time.monotonic()
    while len(c.status(fresh)["members"]) < len(c.vms) - 1:
        t.expect(time.monotonic() - begin < 20,
                 f"knows only {c.status(fresh)['members']}")
        time.sleep(0.2)


if __name__ == "__main__":
    common.run(body, __file__)
