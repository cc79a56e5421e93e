#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. They use the standard library only: compiling them shows that this
# Python reads them, and writes nothing. The programs themselves are built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 - rig_2.py [4-8]/case.py <<'PY'
import sys
from pathlib import Path

for name in sys.argv[1:]:
    compile(Path(name).read_text(), name, "exec")
PY
