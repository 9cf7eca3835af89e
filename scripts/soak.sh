#!/usr/bin/env bash
# Runs an estate under load while random faults come and go, two at a time at most, and checks every
# history and every rule that the stand-ins can see.
# usage: soak.sh [--build DIR] [--estate sofia|saddlery] [--seed N] [--duration-s S] [--rate R]
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/lib.sh
. scripts/lib.sh
# shellcheck source=scripts/faults.sh
. scripts/faults.sh

ENTRY_COUNT=18
# Time within which every entry must have the last accepted configuration.
IN_FORCE_LIMIT_S=12

build=build estate=sofia seed=1 duration=60 rate=150
while [ $# -gt 0 ]; do
  case $1 in
    --build) build=$2 ;;
    --estate) estate=$2 ;;
    --seed) seed=$2 ;;
    --duration-s) duration=$2 ;;
    --rate) rate=$2 ;;
    *) echo "unknown flag: $1" >&2; exit 2 ;;
  esac
  shift 2
done

init_estate "$build" "$estate" "$seed"
echo "soak: estate $estate, seed $seed, $duration s"
ENTRY_EXTRA_FLAGS=(--fatal-invariants true --log-level WARN --ticket-life-ms 8000
                   --leave-timeout-ms 40000 --max-deadline-ms 10000)
start_estate "$ENTRY_COUNT" "${ENTRY_EXTRA_FLAGS[@]}"
control_target '*' "{\"crashOnMarker\":\"$CRASH_MARKER\"}"

mapfile -t entries < <(entry_flags)
requests=$((duration * rate))
start_process load "$BIN/lycheebay-load" "${entries[@]}" --seed "$seed" \
  --lookup "${SERVICES[0]}:/items:5" --lookup "${SERVICES[2]}:/lists:3" \
  --order "${SERVICES[1]}:/sign-ups:2" --requests "$requests" --rate "$rate" --tries 6 \
  --workers 256 --check --targets-control "$TARGETS_CONTROL" \
  --history "$WORK_DIR/history.jsonl" --json "$WORK_DIR/summary.json"
load=$LAST_PID
start_process revisions watch_revisions
watcher=$LAST_PID

run_faults "$duration"
end_all_faults

status=0
wait "$load" || status=$?
cat "$WORK_DIR/load.log"
violations=$(rule_violations) || violations=1
if ! wait_until "$IN_FORCE_LIMIT_S" "one revision everywhere" same_revision; then
  violations=$((violations + 1))
  for address in "${ENTRIES[@]}"; do
    echo "soak: $address has $(http_get "$address/admin/v1/revision" || echo "no answer")"
  done
fi
kill "$watcher" 2>/dev/null || true
reverted=$(grep -c '^reverted' "$WORK_DIR/revisions.log" || true)
aborted=$(grep -lE 'ERROR invariant|terminate called' "$WORK_DIR"/entry-*.log | wc -l || true)
poisoned=$(poison_violations)
echo "soak: rule violations $violations, reverted $reverted, aborted $aborted," \
  "crash requests over the limit $poisoned, load check exit $status"
http_get "$TARGETS_CONTROL/control/report" | jq -c '{totals,violations}' || true
total=$((violations + reverted + aborted + poisoned + (status != 0)))
echo "soak: seed=$seed requests=$requests faults=$FAULT_COUNT violations=$total"
[ "$total" -eq 0 ]
