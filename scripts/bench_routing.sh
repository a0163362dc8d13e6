#!/usr/bin/env bash
# Measures the routing core on a virtual clock and the router on processes.
set -euo pipefail
build=$1
mkdir -p "$build/bench"
{
  "$build/briarwind-bench" routing
  echo
  python3 scripts/bench_routing.py --build "$build"
} | tee "$build/bench/routing.txt"
