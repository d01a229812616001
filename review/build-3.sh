#!/bin/sh
# Prepares the stand-ins that the scripts of cases 11 to 15 start.  All of them
# are Python, the project's own too: they are compiled once, so that a fault in
# one shows here.
set -eu
cd "$(dirname "$0")/.."
python3 - platform/standin/packets.py platform/standin/store.py \
    review/common-3/*.py review/1[1-5]/*.py <<'END'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
END
