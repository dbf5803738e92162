#!/bin/sh
# Builds what the scripts of the third review start, besides the build of the deploy file. All stand-ins are Python
# (standard library only): the project's own in Tests/Soak/fakes.py, and those in review/standins-3.
set -e
cd "$(dirname "$0")/.."
test -x target/bin/almondscale-host || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
python3 - <<'PYTHON'
import sys

assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
for name in ("Tests/Soak/fakes.py", "review/standins-3/lab.py"):
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
PYTHON
