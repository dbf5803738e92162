#!/usr/bin/env bash
# The stand-ins of the cases are Python sources without dependencies: there is nothing to compile, so this only
# checks that each of them can be read by the interpreter that will run it.
set -eu
cd "$(dirname "$0")"
python3 - standins/*.py [0-9]*/*.py <<'PYTHON'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PYTHON
