#!/bin/sh
# Writes to record.txt in this folder what was sent, answered and run. Exits with 1 if the rule was broken, 0 if it held,
# 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
echo "the case has not begun" >record.txt || exit 2
python3 -c 'import tomllib' 2>/dev/null || { echo "the case could not run: Python 3.11 is missing" | tee record.txt; exit 2; }
exec python3 case.py  # writes record.txt
