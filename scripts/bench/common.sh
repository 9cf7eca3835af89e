# shellcheck shell=bash disable=SC2034,SC2153
# Shell functions shared by the measurements, each of which is a script of its own:
# scripts/bench/NAME.sh BUILD_DIR ESTATE SEED. Sets up the estate's addresses when sourced.
set -euo pipefail
# shellcheck source=scripts/lib.sh
. scripts/lib.sh

ENTRY_COUNT=18
# Long enough that the stand-ins and callers, which share the machine, do not limit the rates.
SERVICE_MS=50
# Time for links, probes and ramps of a fresh estate to become steady.
SETTLE_S=5

BENCH=$(basename "$0" .sh)
OUT=$1/bench
mkdir -p "$OUT"
# Keeps histories and logs apart from those that other scripts leave and clear in /tmp.
export TMPDIR=$OUT

# The copy of the sheet has loopback networks of its own, so that a demo or soak test can run on
# the networks of the example at the same time.
SHEET=$OUT/$2.csv
sed 's/,127\.1\./,127.3./; s/,127\.2\./,127.4./' "examples/$2.csv" >"$SHEET"
init_estate "$1" "$2" "$3"
REGION=$STORE_REGION

progress() { echo "bench $BENCH: $*"; }

# begin_measurement: records how busy the machine is before a measurement.
begin_measurement() {
  LOAD_AVERAGE=$(cut -d' ' -f1-3 /proc/loadavg)
  CPU_BEFORE=$(machine_ticks)
}

# machine_ticks: busy and total ticks of all cores since boot.
machine_ticks() { awk '/^cpu / { print $2+$3+$4+$7+$8, $2+$3+$4+$5+$6+$7+$8 }' /proc/stat; }

# write_result NAME: wraps the results on stdin with their origin and writes them to a file.
write_result() {
  local file=$OUT/$BENCH-$ESTATE-$1.json
  jq --arg bench "$BENCH" --arg name "$1" --arg estate "$ESTATE" --argjson seed "$SEED" \
    --arg version "$(git describe --always --dirty)" --arg load "$LOAD_AVERAGE" \
    --arg before "$CPU_BEFORE" --arg after "$(machine_ticks)" \
    --arg command "scripts/bench.sh --bench $BENCH --seed $SEED --estate $ESTATE" '
    def ticks: split(" ") | map(tonumber);
    ($before | ticks) as $b | ($after | ticks) as $a |
    {bench: $bench, name: $name, estate: $estate, seed: $seed, version: $version,
     command: $command, loadAverageAtStart: ($load | ticks),
     machineBusyShare: (($a[0] - $b[0]) / ($a[1] - $b[1])), results: .}' >"$file"
  progress "$1: $(jq -c .results "$file" | cut -c1-400)"
}

# fresh_estate COUNT [ENTRY_FLAGS...]: an estate of a subshell that ends with it.
fresh_estate() {
  WORK_DIR=$(mktemp -d "$WORK_DIR/run.XXXXXX")
  trap stop_all EXIT
  start_estate "$@"
  sleep "$SETTLE_S"
}

# region_slots SERVICE [REGION]: the slots of the targets of a service in a region.
region_slots() {
  tr -d '\r' <"$SHEET" | awk -F, -v service="$1" -v region="${2:-$REGION}" '
    $1 == "domain" { regions[$2] = $3 }
    $1 == "target" && $3 == service && regions[$4] == region { slots += $6 }
    END { print slots + 0 }'
}

# region_targets [SERVICE]: ids and addresses of the targets in REGION, one a line.
region_targets() {
  tr -d '\r' <"$SHEET" | awk -F, -v service="${1:-}" -v region="$REGION" '
    $1 == "domain" { regions[$2] = $3 }
    $1 == "target" && regions[$4] == region && (service == "" || $3 == service) { print $2, $5 }'
}

# rate_at PERCENT: requests a second that use a share of all slots of REGION.
rate_at() {
  local service slots=0
  for service in "${SERVICES[@]}"; do slots=$((slots + $(region_slots "$service"))); done
  echo $((slots * 1000 * $1 / (SERVICE_MS * 100)))
}

# start_load NAME PERCENT SECONDS [FLAGS...]: callers of REGION that use each service in proportion
# to its slots. The second service gets as many orders as lookups, which compete for its slots.
start_load() {
  local name=$1 rate address
  rate=$(rate_at "$2")
  local requests=$((rate * $3)) orders
  orders=$(region_slots "${SERVICES[1]}")
  shift 3
  local entries=()
  for address in "${!ENTRIES[@]}"; do
    [ "$(sheet_lookup domain "$(entry_domain "$address")" 3)" = "$REGION" ] &&
      entries+=(--entry "${ENTRIES[$address]}")
  done
  start_process "$name" "$BIN/lycheebay-load" "${entries[@]}" --seed "$SEED" \
    --lookup "${SERVICES[0]}:/items:$(region_slots "${SERVICES[0]}")" \
    --lookup "${SERVICES[2]}:/lists:$(region_slots "${SERVICES[2]}")" \
    --lookup "${SERVICES[1]}:/items:$((orders / 2))" \
    --order "${SERVICES[1]}:/sign-ups:$((orders / 2))" \
    --service-times exponential --service-ms "$SERVICE_MS" --workers "${WORKERS:-256}" \
    --rate "$rate" --requests "$requests" \
    --history "$WORK_DIR/$name.jsonl" --json "$WORK_DIR/$name.json" "$@"
}

# process_ticks PID...: CPU ticks that processes used so far.
process_ticks() {
  local pid total=0 fields
  for pid in "$@"; do
    # The name in parentheses may contain spaces; user and system time are fields 12 and 13 after it.
    fields=$(sed 's/.*) //' "/proc/$pid/stat")
    total=$((total + $(awk '{ print $12 + $13 }' <<<"$fields")))
  done
  echo "$total"
}

# control_bytes: the sent and received control bytes of every entry, one entry a line.
control_bytes() {
  local address
  for address in "${ENTRIES[@]}"; do
    http_get "$address/metrics" | awk '
      /^lycheebay_(peer|region_link)_sent_bytes_total/ { sent += $NF }
      /^lycheebay_(peer|region_link)_received_bytes_total/ { received += $NF }
      END { printf "%.0f %.0f\n", sent, received }'
  done
}

reset_report() { curl -sf --max-time 2 -X POST "http://$TARGETS_CONTROL/control/reset" >/dev/null; }
target_report() { http_get "$TARGETS_CONTROL/control/report"; }

# history_stats FILTER FILE...: applies a filter of scripts/bench/history.jq to histories.
history_stats() {
  local filter=$1
  shift
  cat "$@" | jq -n -L scripts/bench "include \"history\"; [inputs] | $filter"
}
