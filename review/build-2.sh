#!/bin/sh
# The stand-ins of the second review are Python programs of the standard
# library alone, like the project's own in platform/standin; nothing has to be
# compiled.  Checks that they can be loaded.
cd "$(dirname "$0")/.." || exit 1
exec env PYTHONDONTWRITEBYTECODE=1 python3 -c '
import sys
sys.path.insert(0, "review/common-2")
import deployment
'
