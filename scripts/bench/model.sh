#!/usr/bin/env bash
# Plays the model's scenarios to the gateway's decisions. Writes model.json and, if gnuplot is
# installed, one SVG plot a scenario.
# usage: model.sh BUILD ESTATE SEED
set -euo pipefail

build=$1 seed=$3
SEEDS=5
out=$build/bench
mkdir -p "$out"

"$build/bin/lycheebay-model" --seed "$seed" --seeds "$SEEDS" | jq -s . >"$out/model.json"
jq -r '.[] | "\(.scenario) \(.policy): in time \(.in_time), refused \(.refused)"' "$out/model.json"

if ! command -v gnuplot >/dev/null; then
  echo "no plots: install gnuplot-nox"
  exit 0
fi
for name in $(jq -r '[.[].scenario] | unique | .[]' "$out/model.json"); do
  jq -r --arg s "$name" '.[] | select(.scenario == $s)
    | [.policy, .in_time, .in_time_least, .in_time_most, .late, .refused, .failed] | @tsv' \
    "$out/model.json" >"$out/model-$name.tsv"
  gnuplot <<PLOT
set terminal svg size 720,400 background "white"
set output "$out/model-$name.svg"
set title "$name, $SEEDS seeds from $seed"
set style data histograms
set style histogram rowstacked
set style fill solid 0.8 border -1
set boxwidth 0.6
set yrange [0:1]
set ylabel "share of the requests"
set key outside
plot "$out/model-$name.tsv" using 2:xtic(1) title "in time", "" using 5 title "late", \
     "" using 6 title "refused", "" using 7 title "failed"
PLOT
done
echo "plots: $out/model-*.svg"
