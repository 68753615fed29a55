#!/bin/sh
# Plays review/N/play.py; sourced by the run.sh of each case.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
cd "$root" || exit 2
[ -d target/deps/tarragonlb ] || exit 2
PYTHONPATH="$root/review/standins3:$root/platform/features:$root/target/deps" \
PYTHONDONTWRITEBYTECODE=1 \
    exec python3 -P "$here/play.py" "$here"
