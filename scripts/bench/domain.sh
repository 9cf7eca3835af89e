#!/usr/bin/env bash
# Service while a failure domain leaves, with and without notice, and returns with cold targets.
. scripts/bench/common.sh

# One domain of two stays, so that its targets run at about twice this share.
LOAD_PERCENT=45
DURATION_S=35
LEAVE_S=8
STOP_AFTER_S=5
RETURN_AFTER_S=3
# Time after which a drained failure domain must get no new work.
DRAIN_LIMIT_MS=3000
# A second counts as steady while its p99 is within this factor of the median before the change.
STEADY_FACTOR=1.5
# The second domain of the region, whose targets are not the majority of any service.
mapfile -t region_domains < <(for it in "${DOMAINS[@]}"; do
  [ "$(sheet_lookup domain "$it" 3)" != "$REGION" ] || echo "$it"
done)
DOMAIN=${region_domains[1]}

seconds_since() { awk -v a="$1" -v b="$EPOCHREALTIME" 'BEGIN { printf "%.2f", b - a }'; }

leave_with_notice() {
  local began=$EPOCHREALTIME
  control_domain "$DOMAIN" "{\"noWorkAfterMs\":$DRAIN_LIMIT_MS}"
  ctl domain drain "$DOMAIN"
  DRAIN_S=$(seconds_since "$began")
  sleep "$STOP_AFTER_S"
  control_domain "$DOMAIN" '{"stopped":true}'
  sleep "$RETURN_AFTER_S"
  STARTS_AFTER_LIMIT=$(target_report | jq .violations.startAfterForbidden)
  control_domain "$DOMAIN" '{"stopped":false,"noWorkAfterMs":-1}'
  ctl domain restore "$DOMAIN"
}

leave_without_notice() {
  DRAIN_S=null STARTS_AFTER_LIMIT=null
  control_domain "$DOMAIN" '{"stopped":true}'
  sleep "$((STOP_AFTER_S + RETURN_AFTER_S))"
  control_domain "$DOMAIN" '{"stopped":false}'
}

# run NAME LEAVE: one departure and return under load.
run() (
  fresh_estate "$ENTRY_COUNT"
  begin_measurement
  reset_report
  local began=$EPOCHREALTIME left returned history=$WORK_DIR/load.jsonl
  start_load load "$LOAD_PERCENT" "$DURATION_S" --check --targets-control "$TARGETS_CONTROL"
  local load=$LAST_PID status=0
  sleep "$LEAVE_S"
  left=$(seconds_since "$began")
  "$2" >&2
  returned=$(seconds_since "$began")
  wait "$load" || status=$?
  history_stats "(perSecond) as \$seconds
    | (\$seconds | map(select(.second >= 2 and .second < ($left | floor)) | .p99Ms)
       | percentile(0.5)) as \$before
    | (\$before * $STEADY_FACTOR) as \$limit
    | {domain: \"$DOMAIN\", leftAtSecond: $left, returnedAtSecond: $returned,
       goal: {failedOrders: 0, startsAfterLimit: 0, coldOverload: 0},
       drainInForceAfterSeconds: $DRAIN_S, startsAfterLimit: $STARTS_AFTER_LIMIT}
      + byKind
      + {p99BeforeMs: \$before,
         steadyAfterLeavingSeconds:
           ((\$seconds | steadyFrom($left | ceil; \$limit)) as \$s | if \$s then \$s - $left else null end),
         steadyAfterReturnSeconds:
           ((\$seconds | steadyFrom($returned | ceil; \$limit)) as \$s | if \$s then \$s - $returned else null end),
         refusals: (map(select(isDone | not) | .tries[-1].reason) | group_by(.)
                    | map({(.[0] // \"none\"): length}) | add),
         lookupsPerSecond: (map(select(.kind == \"lookup\")) | perSecond)}" "$history" |
    jq --argjson status "$status" --slurpfile tool "$WORK_DIR/load.json" \
      --argjson violations "$(target_report | jq .violations)" \
      '. + {violations: $violations, historyCheck: $tool[0].check, historyCheckExit: $status}' |
    write_result "$1"
)

run with-notice leave_with_notice
run without-notice leave_without_notice
