#!/usr/bin/env bash
# Builds what the scripts of the second review start beside `rockwick` itself: the stand-ins are one Python module
# without dependencies, so this only checks that it compiles. Run the build of the deploy file first.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import ast, glob
for path in ["stand_2.py", *sorted(glob.glob("[4-8]/case.py"))]:
    ast.parse(open(path, encoding="utf-8").read(), path)
PY
echo "review/stand_2.py and the cases compile"
