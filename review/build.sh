#!/bin/sh
# Checks that the stand-ins compile. They use Python's standard library only and run from
# their source, so nothing is written.
set -eu
cd "$(dirname "$0")"
exec python3 -B -c '
import pathlib, sys
for name in sys.argv[1:]:
    compile(pathlib.Path(name).read_text(encoding="utf-8"), name, "exec")
' stand_ins.py others.py ./*/case.py
