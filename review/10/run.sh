#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 plays it without the disruption.  Writes record.txt beside itself.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
cd "$root" || exit 2
PYTHONPATH="$root/target/deps:$root/platform/features:$root/review/standins2"
export PYTHONPATH
# A script that can't be loaded would exit with 1.
python3 -c 'import stage, tarragonlb.adapter.store' || exit 2
timeout -k 2 118 python3 "$here/play.py" "$here"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
