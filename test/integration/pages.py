"""The operators' pages: every `console` command of docs/operators runs
against a cluster as the pages describe it, and every event and metric that a
page names exists.  Guards against pages that tell operators to type what the
programs no longer take, or to look for what they no longer write."""

import os
import pathlib
import re
import shlex
import shutil
import subprocess
import tempfile
import time
import urllib.request

import common

PAGES = common.ROOT / "docs" / "operators"
EXAMPLE = common.ROOT / "examples" / "stiklsetas"
BUILD = pathlib.Path(os.environ.get("AM_BUILD", common.ROOT / "build"))
FIRST_PAGE = "start-a-data-centre.md"
EVENT_PAGE = "logs-and-metrics.md"
BLOCKS = range(70, 80)

# Rotation of the keys waits twice until in force, each at most
# timeout_ms of the example's amaranthctl.yaml (15 s).
COMMAND_SECONDS = 35

BLOCK = re.compile(r"^ *```console\n(.*?)^ *```", re.M | re.S)
STATED_CODE = re.compile(r"^ *# exit status (\d+)$", re.M)
EVENT = re.compile(r"event=([a-z_]+)")
METRIC = re.compile(r"\bamaranth_[a-z_]+\b")

# Networks of examples/stiklsetas: platform and services, entry VMs of the
# three data centres, upstreams of the two services.
NETWORKS = {"1.0": "0", "1.1": "1", "11.0": "11", "12.0": "12", "13.0": "13",
            "21.0": "101", "22.0": "102"}


def rewrite(text, block):
    """Addresses of the example as addresses of the test's block."""
    return re.sub(r"\b127\.(\d+\.\d+)\.(\d+)\b",
                  lambda m: f"127.{block}.{NETWORKS[m[1]]}.{m[2]}", text)


def copy_example(c):
    """The records and settings of the command, on the addresses of C."""
    for path in sorted((EXAMPLE / "records").glob("*.yaml")):
        (c.records / path.name).write_text(rewrite(path.read_text(), c.block))
    shutil.rmtree(c.upstream_records)
    shutil.copytree(c.records, c.upstream_records)
    text = rewrite((EXAMPLE / "amaranthctl.yaml").read_text(), c.block)
    config = c.folder / "amaranthctl.yaml"
    config.write_text(re.sub(r"peer_key: \S+", "peer_key: peer.key", text))


def commands(page):
    """(command, stated exit status) of each console block of PAGE."""
    for block in BLOCK.findall(page.read_text()):
        lines = [line.strip() for line in block.splitlines()]
        stated = STATED_CODE.search(block)
        for line in lines:
            if line.startswith("$ "):
                yield line[2:], int(stated[1]) if stated else 0


def run_command(t, c, page, command, status):
    text = rewrite(command, c.block).replace("examples/stiklsetas",
                                             str(c.folder))
    argv = [re.sub(r"^build/", f"{BUILD}/", word)
            for word in shlex.split(text)]
    begin = time.monotonic()
    done = subprocess.run(argv, cwd=common.ROOT, capture_output=True,
                          text=True, check=False, timeout=COMMAND_SECONDS)
    t.expect(done.returncode == status,
             f"{page.name}: {command}: status {done.returncode}, not "
             f"{status}: {done.stderr}")
    print(f"{page.name}: {time.monotonic() - begin:.1f} s: {command}")


def read_metrics(address, port):
    """Names of all metrics at a port."""
    url = f"http://{address}:{port}/metrics"
    with urllib.request.urlopen(url, timeout=5) as answer:
        text = answer.read().decode()
    return set(re.findall(r"^# TYPE (\S+)", text, re.M))


def entry_metrics(address):
    """Names of the metrics of amaranth-entry, started for this without a
    store and peers."""
    listen = {"packets": 7210, "readiness": 7211, "peers": 7212,
              "metrics": 7213}
    with tempfile.NamedTemporaryFile("w", suffix=".yaml") as settings:
        settings.write("vm: {name: pages, data_centre: here}\nlisten:\n"
                       + "".join(f"  {name}: {address}:{port}\n"
                                 for name, port in listen.items()))
        settings.flush()
        with subprocess.Popen([BUILD / "amaranth-entry", "--settings",
                               settings.name],
                              stdout=subprocess.DEVNULL) as program:
            try:
                return wait_for_metrics(address, listen["metrics"])
            finally:
                program.kill()


def wait_for_metrics(address, port):
    for _ in range(100):
        try:
            return read_metrics(address, port)
        except OSError:
            time.sleep(0.05)
    raise AssertionError(f"no metrics at {address}:{port} in 5 s")


def metrics(c):
    """Names of all metrics at the ports of one entry VM, and of
    amaranth-entry."""
    address = c.vms[0].address
    return read_metrics(address, 7003) | read_metrics(address, 7103) \
        | entry_metrics(address)


def written_events():
    """Names of all events in the programs' texts."""
    return {name for program in ("amaranth-forwarder", "amaranth-agent")
            for name in EVENT.findall((BUILD / program).read_bytes()
                                      .decode("latin-1"))}


def check_names(t, c, pages):
    """Events are looked for in the programs, metrics at their ports; every
    event of the programs is on the page of the logs."""
    served, written = metrics(c), written_events()
    for page in pages:
        text = page.read_text()
        for name in METRIC.findall(text):
            t.expect(name in served, f"{page.name}: no metric {name}")
        for name in EVENT.findall(text):
            t.expect(name in written, f"{page.name}: no event {name}")
    described = set(EVENT.findall((PAGES / EVENT_PAGE).read_text()))
    t.expect(written <= described,
             f"{EVENT_PAGE}: lacks {sorted(written - described)}")


def body(t):
    c = t.cluster(blocks=BLOCKS, services=None)
    copy_example(c)
    c.start_platform()
    c.start_entry_vms()
    pages = sorted(PAGES.glob("*.md"), key=lambda p: (p.name != FIRST_PAGE,
                                                      p.name))
    count = 0
    for page in pages:
        for command, status in commands(page):
            run_command(t, c, page, command, status)
            count += 1
    t.expect(count > 20, f"only {count} commands found")
    check_names(t, c, pages)
    t.expect_alive(c)


if __name__ == "__main__":
    common.run(body, __file__)
