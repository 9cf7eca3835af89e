#!/usr/bin/env bash
# Brings about one failure on a whole estate and checks the point that must hold under it.
# usage: prove.sh CASE [--build DIR] [--estate sofia|saddlery] [--seed N] [--red]
# CASE is frozen-entry, planned-stop, crash-request, home-regions or measuring. --red takes the
# mechanism away, so that the check must fail.
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/lib.sh
. scripts/lib.sh

ENTRY_COUNT=18
CRASH_MARKER=crash-this-target
case_name=$1
shift
build=build estate=sofia seed=1 red=false
while [ $# -gt 0 ]; do
  case $1 in
    --build) build=$2; shift ;;
    --estate) estate=$2; shift ;;
    --seed) seed=$2; shift ;;
    --red) red=true ;;
    *) echo "unknown flag: $1" >&2; exit 2 ;;
  esac
  shift
done

report() { http_get "$TARGETS_CONTROL/control/report"; }
violations() { report | jq ".violations.$1"; }

start() { init_estate "$build" "$estate" "$seed"; start_estate "$ENTRY_COUNT" "$@"; }

# entry_number_of HOST:PORT
entry_number_of() { local host=${1%:*}; echo "${host##*.}"; }

# dispatcher_of SERVICE ENTRY: the HTTP address of the dispatcher in the entry's region.
dispatcher_of() {
  http_get "${ENTRIES[$2]}/admin/v1/explain?service=$1&method=GET&path=/" | jq -r .dispatcherAddress
}

# send_lookups ADDRESS SERVICE COUNT PATH
send_lookups() {
  local n
  for ((n = 0; n < $3; ++n)); do
    curl -s -o /dev/null -w '%{http_code}\n' --max-time 2 "http://$1/services/$2$4" \
      >>"$WORK_DIR/lookups.log" &
    [ $((n % 60)) -ne 59 ] || wait_for_curls
  done
  wait_for_curls
}

wait_for_curls() { while [ -n "$(jobs -r | grep curl || true)" ]; do sleep 0.05; done; }

# A dispatcher that was frozen across a drain must send nothing by its old configuration.
prove_frozen_entry() {
  local flags=() dispatcher number
  ! $red || flags=(--when-unattested serve)
  start "${flags[@]}"
  local domain=${DOMAINS[2]} service=${SERVICES[0]}
  dispatcher=$(dispatcher_of "$service" 2)
  number=$(entry_number_of "$dispatcher")
  send_lookups "$dispatcher" "$service" 100 /items
  kill -STOP "${ENTRY_PIDS[$number]}"
  ctl --wait-s 2 domain drain "$domain" || true
  control_domain "$domain" '{"noWorkAfterMs":3000}'
  # Longer than peers keep links to it, so that it has to fetch the change after it resumes.
  sleep 10
  # These wait in the frozen process and are read first when it resumes.
  send_lookups "$dispatcher" "$service" 60 /items &
  sleep 1
  kill -CONT "${ENTRY_PIDS[$number]}"
  wait $!
  echo "prove: answers $(sort "$WORK_DIR/lookups.log" | uniq -c | tr -s ' \n' ' ')"
  FOUND=$(violations startAfterForbidden)
}

# A target stops exactly at its planned time; without a plan the same stop cuts requests.
prove_planned_stop() {
  start --default-deadline-ms 3000 --max-deadline-ms 4000
  local target stop_at entries load status=0
  target=$(targets_of "${SERVICES[1]}" | head -1)
  stop_at=$(($(date +%s) + 12))
  mapfile -t entries < <(entry_flags)
  start_process load "$BIN/lycheebay-load" "${entries[@]}" --seed "$seed" --rate 60 --requests 1500 \
    --order "${SERVICES[1]}:/sign-ups:1" --service-times exponential --service-ms 150 --tries 1 \
    --deadline-ms 3000 --check --targets-control "$TARGETS_CONTROL" --max-unknown 0 \
    --json "$WORK_DIR/summary.json"
  load=$LAST_PID
  if ! $red; then
    ctl stop add proof --scope target --name "$target" --start "$(date -u -d "@$stop_at" +%FT%TZ)" \
      --end "$(date -u -d "@$((stop_at + 600))" +%FT%TZ)"
  fi
  while [ "$(date +%s)" -lt "$stop_at" ]; do sleep 0.1; done
  control_target "$target" '{"stopped":true}'
  wait "$load" || status=$?
  tail -3 "$WORK_DIR/load.log"
  FOUND=$status
}

# A caller sends a request that crashes its target through every entry, twice. The red run sends
# another request each time.
prove_crash_request() {
  start
  control_target '*' "{\"crashOnMarker\":\"$CRASH_MARKER\"}"
  local before after round address n=0
  before=$(report | jq .totals.crashes)
  for round in 1 2; do
    for address in "${ENTRIES[@]}"; do
      n=$((n + 1))
      ! $red || local suffix="-$n"
      curl -s -o /dev/null --max-time 3 \
        "http://$address/services/${SERVICES[0]}/items/$CRASH_MARKER${suffix:-}" || true
    done
  done
  after=$(report | jq .totals.crashes)
  echo "prove: round $round, $n requests, $((after - before)) crashes"
  FOUND=$((after - before > 2 ? after - before : 0))
}

# Requests with a home region leave no trace in the other region, in the log or on the region link,
# also when they crash targets. The red run sends requests without a home region.
prove_home_regions() {
  start
  control_target '*' "{\"crashOnMarker\":\"$CRASH_MARKER\"}"
  local marker=secret-$RANDOM path service home number trace=0
  IFS=, read -r _ service _ path _ _ home < <(tr -d '\r' <"$SHEET" |
    awk -F, '$1 == "route" && $5 == "idempotent" && $7 != "" { print; exit }')
  ! $red || path=/open
  local before after other
  other=$(for number in "${!ENTRIES[@]}"; do
    [ "$(entry_region "$number")" = "$home" ] || echo "$number"; done)
  before=$(started_outside "$home")
  for number in "${!ENTRIES[@]}"; do
    curl -s -o /dev/null --max-time 3 "http://${ENTRIES[$number]}/services/$service$path?$marker" || true
    curl -s -o /dev/null --max-time 3 \
      "http://${ENTRIES[$number]}/services/$service$path/$marker-$CRASH_MARKER" || true
  done
  sleep 2
  after=$(started_outside "$home")
  trace=$((after - before))
  for number in $other; do
    trace=$((trace + $(http_get "${ENTRIES[$number]}/admin/v1/status" | jq '.crashSuspects + .outcomeEntries')))
    trace=$((trace + $(grep -c "$marker" "$WORK_DIR/entry-$(printf %02d "$number").log" || true)))
  done
  trace=$((trace + $(http_get "$PLATFORM/streams/configuration/records?from=1&max=1000" | grep -c "$marker" || true)))
  for number in "${!ENTRIES[@]}"; do
    trace=$((trace + $(http_get "${ENTRIES[$number]}/metrics" |
      awk '/^lycheebay_region_link_sent_bytes_total.*crash_suspects/ { print int($2) }')))
  done
  FOUND=$trace
}

entry_region() { sheet_lookup domain "$(entry_domain "$1")" 3; }

# Requests that targets outside a region started.
started_outside() {
  local domains
  domains=$(tr -d '\r' <"$SHEET" | awk -F, -v home="$1" '$1 == "domain" && $3 != home { print $2 }' |
    jq -R . | jq -s -c .)
  report | jq --argjson domains "$domains" \
    '[.targets[] | select(.failureDomain as $d | $domains | index($d)) | .started] | add'
}

# Probes and connections cost at most 1% of each target's slot time while entries come and go. The
# red run has one tenth of the budget in the check.
prove_measuring() {
  start
  curl -sf -X POST "http://$TARGETS_CONTROL/control/reset" >/dev/null
  local began=$SECONDS number round limit=0.01
  ! $red || limit=0.001
  for round in 1 2 3 4; do
    number=$((RANDOM % (ENTRY_COUNT - 1) + 2))
    kill_entry "$number"
    sleep 5
    start_entry "$number" "$(entry_domain "$number")"
    sleep 5
  done
  local elapsed=$((SECONDS - began))
  echo "prove: $round kills in $elapsed s"
  report | jq -c --argjson s "$elapsed" '[.targets[] | (.probes * 6 + .connections) / ($s * 1000 * 3)] |
    {maxShare: max, meanShare: (add / length)}'
  FOUND=$(report | jq --argjson s "$elapsed" --argjson limit "$limit" \
    '[.targets[] | (.probes * 6 + .connections) / ($s * 1000 * 3) | select(. > $limit)] | length')
}

"prove_${case_name//-/_}"
echo "prove: case=$case_name red=$red seed=$seed violations=$FOUND"
[ "$FOUND" -eq 0 ]
