#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start, the project's own too.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q chivewall review/stand2
