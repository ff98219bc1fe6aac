#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python programs without dependencies, so this
# only checks that they can be compiled; nothing is written.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.py */case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
