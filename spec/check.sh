#!/usr/bin/env bash
# Checks every model in spec/ and that each seeded fault is found.
set -euo pipefail
cd "$(dirname "$0")"
shopt -s nullglob
models=(*.pml)
echo "models: ${#models[@]}"
