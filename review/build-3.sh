#!/usr/bin/env bash
# Builds the stand-ins of review/11 to review/15. They are Python programs without
# dependencies, so this only checks that they compile and that the gateway is built.
set -euo pipefail
cd "$(dirname "$0")/.."
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
for source in review/standins-3/*.py review/1[1-5]/*.py; do
    [ -e "$source" ] || continue
    python3 -c 'import py_compile, sys; py_compile.compile(sys.argv[1], sys.argv[2], doraise=True)' \
        "$source" "$scratch/$(echo "$source" | tr / -).pyc"
done
test -x target/bin/cassiahub-gateway
