#!/bin/sh
# The stand-ins of the cases are Python (review/standins, platform/soak/web.py), so there is nothing
# to build. Checks that they can be read.
set -eu
cd "$(dirname "$0")/.."
for file in review/standins/*.py review/[1-9]/*.py platform/soak/web.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
