#!/bin/sh
# Builds the stand-ins that the scripts of this review start.  They are written
# in Python and use libraries of the deployed daemon only, so deploy/build.sh
# has to run before.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:platform/features:review/standins
export PYTHONPATH
python3 -m compileall -q platform/features/faultsoak review
python3 -P -c 'import stage'
