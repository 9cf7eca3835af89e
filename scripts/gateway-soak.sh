#!/usr/bin/env bash
# Runs the gateway soak for a range of seeds, several runs in parallel. Keeps the directory of each
# failed run, with the logs of all processes, and exits with status 1 if a run failed.
# usage: gateway-soak.sh BUILD_DIR FIRST_SEED LAST_SEED [DURATION_S] [PARALLEL_RUNS]
set -euo pipefail
cd "$(dirname "$0")/.."

build=$1 first=$2 last=$3 duration=${4:-12} parallel_runs=${5:-5}
work=$(mktemp -d)

run_one() {
  seed=$1 folder=$work/seed-$1
  subnet=$((20 + seed % 200))
  if "$build/bin/lycheebay-gateway-soak" --program "$build/bin/lycheebay-platformd" --folder "$folder" --seed "$seed" \
    --duration-s "$duration" --subnet "$subnet" >"$folder.out" 2>&1; then
    rm -rf "$folder"
  else
    touch "$work/failed"
    echo "soak: seed=$seed failed, logs in $folder"
    grep -E 'violation=' "$folder.out" | head -20 || true
  fi
  tail -n 1 "$folder.out"
}
export -f run_one
export build duration work

seq "$first" "$last" | xargs -P "$parallel_runs" -I{} bash -c 'run_one {}'
[ ! -e "$work/failed" ]
