#!/bin/sh
# Builds the stand-ins of the cases. They are Python files that need only the
# standard library, so it is enough that they compile.
set -eu
cd "$(dirname "$0")"
python3 - <<'P'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
P
