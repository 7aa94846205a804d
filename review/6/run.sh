#!/usr/bin/env bash
# 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: without the disruption.
# What was sent, answered and run is written to record.txt in this folder.
cd "$(dirname "$0")/../.."
test -x .venv/bin/python || exit 2
exec .venv/bin/python review/6/case.py
