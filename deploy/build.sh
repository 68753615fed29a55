#!/bin/sh
# Puts everything that the programs need under target/deps.
set -eu
python3 -m pip install -q -U --target target/deps \
    -c constraints.txt -r deploy/requirements.txt
for library in libs/model libs/scheduling libs/controller libs/telemetry libs/server platform; do
    cp -R "$library/tarragonlb" target/deps/
done
python3 -m compileall -q target/deps
touch target/built
