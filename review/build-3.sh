#!/bin/sh
# Builds the stand-ins of the cases 11 to 15, after the build of the deploy
# file.  They are Python on libraries that the daemon needs as well; so building
# them is compiling them, and showing that they can be imported.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps/tarragonlb ] || sh deploy/build.sh
python3 -m compileall -q review/standins3 platform/features/faultsoak
PYTHONPATH="review/standins3:platform/features:target/deps" \
    python3 -P -c 'import stage'
