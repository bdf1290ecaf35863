#!/bin/sh
# Runs the case; exit status 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: without
# the disruption.
cd "$(dirname "$0")" || exit 2
exec env PYTHONDONTWRITEBYTECODE=1 timeout -k 5 110 python3 case.py
