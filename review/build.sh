#!/usr/bin/env bash
# Prepares the stand-ins of the review's cases. They are Python programs of the
# standard library, so that there is nothing to compile; this checks that the
# interpreter reads them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib, sys
if sys.version_info < (3, 9):
    sys.exit("python3 3.9 or newer is needed")
for file in sorted(pathlib.Path(".").rglob("*.py")):
    compile(file.read_text(), str(file), "exec")
PY
echo "the stand-ins are ready"
