"""Design 2 and 7, exit statuses: bad arguments of scripts/experiment and
history-check.  Guards against a wrong call that passes as a run."""

import os
import pathlib
import subprocess

import common

BUILD = pathlib.Path(os.environ.get("AM_BUILD", common.ROOT / "build"))
EXPERIMENT = common.ROOT / "scripts" / "experiment"
CHECK = BUILD / "standin" / "history-check"

CASES = [
    (EXPERIMENT, [], 64), (EXPERIMENT, ["nothing"], 64),
    (EXPERIMENT, ["change", "--seed", "x"], 64),
    (EXPERIMENT, ["change", "--seconds", "0"], 64),
    (EXPERIMENT, ["change", "--policy", "none"], 64),
    (EXPERIMENT, ["all", "--policy", "local"], 64),
    (EXPERIMENT, ["change", "--nothing"], 64),
    (CHECK, [], 64), (CHECK, ["--nothing", "x"], 64),
    (CHECK, ["/dev/null"], 65), (CHECK, [str(BUILD / "absent.jsonl")], 65),
]


def body(t):
    for program, arguments, status in CASES:
        done = subprocess.run([program, *arguments], capture_output=True,
                              text=True, check=False, timeout=30)
        t.expect(done.returncode == status,
                 f"{program.name} {arguments}: {done.returncode}")
        if program == EXPERIMENT:
            t.expect(len(done.stderr.splitlines()) == 1,
                     f"not one line: {done.stderr}")


if __name__ == "__main__":
    common.run(body, __file__)
