#!/bin/sh
# Builds every stand-in that a script starts: they are Python and run in the
# script's own process, so they are only compiled, as a check.
set -eu
cd "$(dirname "$0")"
for file in lib/*.py [0-9]/*.py; do
  python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
test -x ../target/amaranth-entry
