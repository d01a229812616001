"""A short seeded run of the fault soak, the seeds that ever failed, and the
checks of the soak themselves."""

import os
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]
STANDIN = ROOT / "platform" / "standin"
PROGRAM = pathlib.Path(os.environ.get("AM_BUILD", ROOT / "build"),
                       "amaranth-entry")
BLOCK = "104"


def call(*command):
    print(*command, flush=True)
    if subprocess.run(command, check=False).returncode:
        sys.exit(1)


def kept_seeds():
    """Seed and seconds of the runs that failed once, with a cause behind #."""
    for line in (STANDIN / "seeds").read_text().splitlines():
        words = line.split("#")[0].split()
        if words:
            yield words


if __name__ == "__main__":
    call(sys.executable, str(STANDIN / "check_checks.py"))
    for seed, seconds in [("1", "10"), *kept_seeds()]:
        call(sys.executable, str(STANDIN / "soak.py"), "--seed", seed,
             "--seconds", seconds, "--block", BLOCK, "--program",
             str(PROGRAM))
