#!/usr/bin/env bash
# Requests that suffer while one target has a fault for the whole run, at half load.
. scripts/bench/common.sh

LOAD_PERCENT=50
DURATION_S=20
# Time that the system has to notice the fault.
NOTICE_S=2

# run NAME FAULT_JSON: one fault at the first target of the first service.
run() (
  local target
  fresh_estate "$ENTRY_COUNT"
  read -r target _ < <(region_targets "${SERVICES[0]}")
  begin_measurement
  control_target "$target" "$2"
  start_load load "$LOAD_PERCENT" "$DURATION_S"
  wait "$LAST_PID"
  history_stats "since($NOTICE_S) | (map(select(isDone) | latencyMs) | percentile(0.5)) as \$median
    | {target: \"$target\", fault: $2, badShare: badShare(\$median),
       badShareOfService:
         (map(select(.service == \"${SERVICES[0]}\")) | badShare(\$median)),
       all: summary} + byKind" "$WORK_DIR/load.jsonl" |
    jq --argjson report "$(target_report | jq --arg id "$target" '.targets[$id]')" \
      '. + {requestsAtTarget: $report.requests}' | write_result "$1"
)

run none '{}'
run half-working '{"hangShare":3}'
run fail-fast '{"failFast":1}'
run lying-load '{"loadLie":0}'
