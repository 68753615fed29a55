#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start: those of
# this review, and the store of the project's fault soak.  They are Python on
# the libraries of target/deps, so it compiles them and checks that they load.
# deploy/build.sh has to have run before.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins2 platform/features/faultsoak
PYTHONPATH=target/deps:platform/features:review/standins2 \
    python3 -c 'import stage'
