#!/usr/bin/env bash
# Measures the routing core with a virtual clock, then the router as a real process.
set -euo pipefail
build=$1
mkdir -p "$build/bench"
{
  "$build/briarwind-bench" routing
  echo
  python3 scripts/bench_routing.py --build "$build"
} | tee "$build/bench/routing.txt"
