#!/usr/bin/env bash
# Runs the case of a folder: review/run_case.sh N. Exits with 1 if its rule was broken, 0 if it
# held, and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH="$PWD:$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1
python3 -c "import importlib; importlib.import_module('review.$1.case')" || exit 2
exec python3 -m "review.$1.case"
