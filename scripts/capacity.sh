#!/usr/bin/env bash
# Measures the slopes of docs/CAPACITY.md: capacity.sh BUILD [SERIES...]
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
exec python3 "$here/capacity.py" "$@"
