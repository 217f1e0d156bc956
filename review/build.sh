#!/usr/bin/env bash
# Builds the stand-ins of the cases; run it after the build line of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD:$PWD/target/deps"
python3 -m compileall -q review chivewall
python3 -c "import chivewall.daemon, review.stand.deployment, review.stand.runner"
