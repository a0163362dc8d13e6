#!/usr/bin/env bash
# Runs all benchmarks. Results are written to BUILD/bench: JSON reports and a page of plots for the
# placement policy, text for routing.
set -euo pipefail
build=$1
out="$build/bench"
mkdir -p "$out"
bench="$build/briarwind-bench"

# Jobs: the placement policy against its baselines, at the sizes of both firms, a middle size and
# the target size.
"$bench" policy --size ferraresi --seeds 10 --out "$out/policy-ferraresi.json"
"$bench" policy --size vedacao --seeds 10 --out "$out/policy-vedacao.json"
"$bench" policy --size middle --seeds 3 --strategy cells --strategy first-fit \
  --out "$out/policy-middle.json"
"$bench" policy --size target --seeds 10 --strategy cells --strategy first-fit \
  --out "$out/policy-target.json"
python3 scripts/plot.py "$out/policy.html" "$out"/policy-*.json

# Requests: instance selection and overload in simulation, then the router as a real process.
bash scripts/bench_routing.sh "$build"
