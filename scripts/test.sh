#!/usr/bin/env bash
# Runs all tests. Tests listed in KNOWN-RED.txt run separately: their output is printed, but their
# results do not affect the exit status.
set -euo pipefail
build=$1
jobs=$2
known=$(grep -v '^#' KNOWN-RED.txt 2>/dev/null | cut -d: -f1 | sed 's/\./\\./g' | paste -sd'|' || true)

cd "$build"
if [ -z "$known" ]; then
  exec ctest --output-on-failure -j "$jobs"
fi
echo "known failures, passed over:"
ctest -R "^($known)\$" || true
echo "all other tests:"
ctest --output-on-failure -j "$jobs" -E "^($known)\$"
