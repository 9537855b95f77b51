#!/usr/bin/env bash
# Writes to record.txt in this folder what was sent, answered and run. Exits with 1 if the rule was broken, 0 if it held,
# 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
echo "the case has not begun" >record.txt || exit 2
command -v python3 >/dev/null || { echo "the case could not run: python3 is missing" | tee record.txt; exit 2; }
exec python3 -B case.py  # writes record.txt
