#!/usr/bin/env bash
# Measures the linear cost models of docs/CAPACITY.md. Usage: capacity.sh BUILD [SERIES...]
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
exec python3 "$here/capacity.py" "$@"
