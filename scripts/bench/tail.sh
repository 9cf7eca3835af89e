#!/usr/bin/env bash
# Tail latency of every strategy at several loads, while one target in eight is slow at any time,
# and goodput of the default strategy in a short overload.
. scripts/bench/common.sh

read -ra STRATEGIES <<<"${TAIL_STRATEGIES:-slot-queue round-robin random least-outstanding two-choices}"
read -ra LOADS <<<"${TAIL_LOADS:-50 70 85}"
# Shorter runs fit a busy day; the results state the time.
DURATION_S=${TAIL_DURATION_S:-20}
SLOW_FACTOR=5
MIN_SLOW_MS=50
MAX_SLOW_MS=500
# The overload adds the burst to the base for the burst's time.
BASE_PERCENT=70
BURST_PERCENT=80
BURST_S=2
AROUND_S=10

# slow_targets SEED: slows one target after another for a random time.
slow_targets() {
  local target duration
  RANDOM=$1
  mapfile -t ids < <(region_targets "" | cut -d' ' -f1)
  while true; do
    target=${ids[$((RANDOM % ${#ids[@]}))]}
    duration=$((MIN_SLOW_MS + RANDOM % (MAX_SLOW_MS - MIN_SLOW_MS)))
    control_target "$target" "{\"slowFactor\":$SLOW_FACTOR,\"slowForMs\":$duration}" || true
    sleep "$(printf '0.%03d' "$duration")"
  done
}

# start_slow_targets: one loop for every eighth target.
start_slow_targets() {
  local n count
  count=$(region_targets "" | wc -l)
  SLOW_PIDS=()
  for ((n = 0; n < (count + 4) / 8; ++n)); do
    start_process "slow-$n" slow_targets "$((SEED * 100 + n))"
    SLOW_PIDS+=("$LAST_PID")
  done
}

# cores_since TICKS_BEFORE SECONDS PID...: cores that processes used.
cores_since() {
  local before=$1 seconds=$2
  shift 2
  awk -v ticks="$(($(process_ticks "$@") - before))" -v s="$seconds" -v hz="$(getconf CLK_TCK)" \
    'BEGIN { printf "%.3f", ticks / hz / s }'
}

# measure STRATEGY PERCENT
measure() {
  local name=$1-$2 ticks
  begin_measurement
  ticks=$(process_ticks "${ENTRY_PIDS[@]}")
  start_load "$name" "$2" "$DURATION_S"
  wait "$LAST_PID"
  history_stats "{strategy: \"$1\", loadPercent: $2, ratePerSecond: $(rate_at "$2"),
      serviceMs: $SERVICE_MS, durationSeconds: $DURATION_S,
      entryCores: $(cores_since "$ticks" "$DURATION_S" "${ENTRY_PIDS[@]}")}
    + byKind" "$WORK_DIR/$name.jsonl" | write_result "$name"
}

measure_overload() {
  local base burst
  begin_measurement
  start_load base "$BASE_PERCENT" "$((2 * AROUND_S + BURST_S))"
  base=$LAST_PID
  sleep "$AROUND_S"
  WORKERS=512 start_load burst "$BURST_PERCENT" "$BURST_S"
  burst=$LAST_PID
  wait "$base" "$burst"
  jq -c --argjson at "$AROUND_S" '.intendedUs += $at * 1000000 | .endUs += $at * 1000000' \
    "$WORK_DIR/burst.jsonl" >"$WORK_DIR/shifted.jsonl"
  history_stats "{capacityPerSecond: $(rate_at 100), overloadPercent: $((BASE_PERCENT + BURST_PERCENT)),
      inOverload: (map(select(.intendedUs >= ${AROUND_S}e6
        and .intendedUs < $((AROUND_S + BURST_S))e6)) | {all: summary} + byKind),
      perSecond: perSecond}" "$WORK_DIR/base.jsonl" "$WORK_DIR/shifted.jsonl" |
    write_result slot-queue-overload
}

# run STRATEGY: all loads with one strategy.
run() (
  local load
  fresh_estate "$ENTRY_COUNT" --strategy "$1"
  # Brings the targets through their ramp.
  start_load warm-up "${LOADS[0]}" 3
  wait "$LAST_PID"
  start_slow_targets
  for load in "${LOADS[@]}"; do measure "$1" "$load"; done
  if [ "$1" = slot-queue ]; then
    kill "${SLOW_PIDS[@]}"
    measure_overload
  fi
)

for strategy in "${STRATEGIES[@]}"; do run "$strategy"; done
