#!/usr/bin/env bash
# Builds the stand-ins of review/4 to review/6: plain Python modules, run by the interpreter that the deploy file's build made.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/standins2 review/4 review/5 review/6
