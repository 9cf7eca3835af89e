#!/usr/bin/env bash
# Runs measurements of a whole estate and writes one JSON file a measurement to BUILD/bench.
# usage: bench.sh [--build DIR] [--bench overhead|tail|cost|domain|fault|idle|model|all] [--seed N]
#                 [--estate sofia|saddlery]
set -euo pipefail
cd "$(dirname "$0")/.."

ALL=(idle overhead cost domain fault tail model)

build=build bench=all estate=sofia seed=1
while [ $# -gt 0 ]; do
  case $1 in
    --build) build=$2 ;;
    --bench) bench=$2 ;;
    --estate) estate=$2 ;;
    --seed) seed=$2 ;;
    *) echo "unknown flag: $1" >&2; exit 2 ;;
  esac
  shift 2
done

[ "$bench" = all ] && names=("${ALL[@]}") || names=("$bench")
status=0
for name in "${names[@]}"; do
  [ -e "scripts/bench/$name.sh" ] || { echo "unknown bench: $name" >&2; exit 2; }
  bash "scripts/bench/$name.sh" "$build" "$estate" "$seed" || status=1
done
exit "$status"
