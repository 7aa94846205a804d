#!/bin/sh
# Builds the stand-ins: Python of the standard library alone, so that a check of their syntax is all there is.
cd "$(dirname "$0")" || exit 1
exec ../.venv/bin/python -B -c '
import pathlib
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(path.read_text(), str(path), "exec")
'
