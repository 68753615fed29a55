#!/bin/sh
# Plays the case against the deployed program; see claim.txt.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
cd "$root" || exit 2
export PYTHONPATH="$root/target/deps:$root/platform/features:$root/review/standins2"
exec timeout -k 2 118 python3 "$here/play.py" "$here"
