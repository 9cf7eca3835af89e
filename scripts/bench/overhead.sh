#!/usr/bin/env bash
# Latency that an entry adds: requests alternate between one target and the entry in the same run.
. scripts/bench/common.sh

RATE=200
REQUESTS=6000
# Few callers and one direct target, so that opening connections stays outside the percentiles.
WORKERS=16
WARM_UP_S=2

read -r _ direct < <(region_targets "${SERVICES[0]}")

# measure NAME FLAGS...: one run with the service times that the flags set.
measure() (
  fresh_estate "$ENTRY_COUNT"
  name=$1 file=$WORK_DIR/$1.jsonl
  shift
  begin_measurement
  start_process "$name" "$BIN/lycheebay-load" --overhead --entry "${ENTRIES[1]}" \
    --direct "$direct" --lookup "${SERVICES[0]}:/items:1" --rate "$RATE" --requests "$REQUESTS" \
    --workers "$WORKERS" --seed "$SEED" --history "$file" --json "$WORK_DIR/$name.json" "$@"
  wait "$LAST_PID"
  history_stats "since($WARM_UP_S) |
    def onWire: map(.tries[-1] | (.endUs - .sentUs) / 1000);
    def path(\$name): map(select(.path == \$name));
    def difference(\$a; \$b): \$a | with_entries(.value -= \$b[.key]);
    def late: map((.tries[0].sentUs - .intendedUs) / 1000) | percentiles;
    (path(\"direct\") | summary) as \$direct | (path(\"entry\") | summary) as \$entry
    | (path(\"direct\") | onWire | percentiles) as \$directWire
    | (path(\"entry\") | onWire | percentiles) as \$entryWire
    | {goal: {p99Ms: 0.49, aimMs: 0.245}, direct: \$direct, entry: \$entry,
       addedMs: difference(\$entry | {p50Ms, p99Ms, p999Ms}; \$direct),
       addedOnWireMs: difference(\$entryWire; \$directWire),
       callerLatenessMs: {direct: (path(\"direct\") | late), entry: (path(\"entry\") | late)}}" \
    "$file" | jq --slurpfile tool "$WORK_DIR/$name.json" \
    --argjson histogram "$(added_histogram)" \
    '. + {loadToolOverhead: $tool[0].overhead, entryMeasuredAtMost: $histogram}' | write_result "$name"
)

# added_histogram: upper bounds of the percentiles that the entries measured themselves.
added_histogram() {
  local address
  for address in "${ENTRIES[@]}"; do http_get "$address/metrics"; done |
    awk -F'[" ]' '/^lycheebay_added_latency_seconds_bucket/ { count[$2] += $NF }
      END { for (bound in count) print bound, count[bound] }' |
    jq -Rn '[inputs | split(" ") | {ms: .[0], count: (.[1] | tonumber)}]
      | (map(.count) | max) as $all
      | def bound($share): map(select(.count >= $share * $all and .ms != "+Inf") | .ms | tonumber)
          | min | if . then . * 1000 else null end;
      {requests: $all, p50Ms: bound(0.5), p99Ms: bound(0.99), p999Ms: bound(0.999)}'
}

# A log-normal distribution this narrow is constant for practical purposes.
measure constant-1ms --service-times log-normal --sigma 0.001 --service-ms 1
measure exponential-1ms --service-times exponential --service-ms 1
