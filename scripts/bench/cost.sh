#!/usr/bin/env bash
# What measuring costs the targets and control costs the entries, with 18 and with 9 entries, idle
# and at half load.
. scripts/bench/common.sh

WINDOW_S=15
LOAD_PERCENT=50
RAMP_S=4

# measure NAME: counts over one window at all targets and entries.
measure() {
  local before after start end
  begin_measurement
  reset_report
  before=$(control_bytes)
  start=$EPOCHREALTIME
  sleep "$WINDOW_S"
  target_report >"$WORK_DIR/report.json"
  end=$EPOCHREALTIME
  after=$(control_bytes)
  {
    echo "$start $end"
    paste -d' ' <(echo "$before") <(echo "$after")
  } | awk 'NR == 1 { d = $2 - $1; next }
      { printf "{\"seconds\":%f,\"sent\":%f,\"received\":%f}\n", d, ($3-$1)/d, ($4-$2)/d }' |
    jq -s --slurpfile report "$WORK_DIR/report.json" --argjson slots "$(slots_json)" '
      def spread: {min: min, mean: (add / length), max: max};
      .[0].seconds as $s
      | [$report[0].targets | to_entries[] | .key as $id | .value
         | {probes, connections, loadQueries, requests,
            measuringShare: ((6 * .probes + .connections) / (1000 * $s * $slots[$id])),
            probeShare: (6 * .probes / (1000 * $s * $slots[$id]))}] as $targets
      | {entries: length, windowSeconds: $s,
         goal: {measuringShare: 0.01, bytesPerSecond: 5000},
         probesPerSecond: ($targets | map(.probes / $s) | spread),
         connectionsPerSecond: ($targets | map(.connections / $s) | spread),
         loadQueriesPerSecond: ($targets | map(.loadQueries / $s) | spread),
         requestsPerSecond: ($targets | map(.requests / $s) | spread),
         probeShare: ($targets | map(.probeShare) | spread),
         measuringShare: ($targets | map(.measuringShare) | spread),
         sentBytesPerSecond: (map(.sent) | spread),
         receivedBytesPerSecond: (map(.received) | spread),
         bytesPerSecond: (map(.sent + .received) | spread)}' | write_result "$1"
}

# slots_json: slots by target id.
slots_json() {
  paste -d' ' <(sheet_column target 2) <(sheet_column target 6) |
    jq -Rn '[inputs | split(" ") | {(.[0]): (.[1] | tonumber)}] | add'
}

# run COUNT: both measurements with a number of entries, in a process of its own that ends them.
run() (
  fresh_estate "$1"
  measure "$1-entries-idle"
  local loads=()
  for REGION in "${REGIONS[@]}"; do
    start_load "load-$REGION" "$LOAD_PERCENT" "$((RAMP_S + WINDOW_S + 3))"
    loads+=("$LAST_PID")
  done
  sleep "$RAMP_S"
  measure "$1-entries-half-load"
  wait "${loads[@]}"
)

for count in ${COST_ENTRIES:-18 9}; do run "$count"; done
