#!/usr/bin/env bash
# Runs every benchmark; figures go to BUILD/bench as JSON, with a page of plots for each.
set -euo pipefail
build=$1
out="$build/bench"
mkdir -p "$out"
bench="$build/briarwind-bench"

# Jobs: the policy against its baselines at both firms' sizes and at the target's.
"$bench" policy --size ferraresi --seeds 10 --out "$out/policy-ferraresi.json"
"$bench" policy --size vedacao --seeds 10 --out "$out/policy-vedacao.json"
"$bench" policy --size middle --seeds 3 --strategy cells --strategy first-fit \
  --out "$out/policy-middle.json"
"$bench" policy --size target --seeds 10 --strategy cells --strategy first-fit \
  --out "$out/policy-target.json"
python3 scripts/plot.py "$out/policy.html" "$out"/policy-*.json

# Short requests: the choice of instances, overload, and the router on processes.
bash scripts/bench_routing.sh "$build"
