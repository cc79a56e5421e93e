#!/bin/sh
# Builds the stand-ins that the scripts start. They are plain Python on the standard library, so this only checks that
# they compile; the programs themselves are built by the deploy file's `build`.
cd "$(dirname "$0")" || exit 2
for file in harness.py */case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 2
done
