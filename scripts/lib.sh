# shellcheck shell=bash disable=SC2034,SC2119,SC2120
# Shell functions shared by the demo, soak and benchmark scripts. Source it, call init_estate, and
# the processes started with it end with the script.

# init_estate BUILD_DIR ESTATE SEED: sets the addresses and the trap that ends all processes.
init_estate() {
  BIN=$1/bin
  ESTATE=$2
  SEED=$3
  SHEET=${SHEET:-examples/$ESTATE.csv}
  require_files "$SHEET" "$BIN"/lycheebay{d,ctl,-load,-platform-standin,-target-standin}
  WORK_DIR=$(mktemp -d "${TMPDIR:-/tmp}/lycheebay-$ESTATE.XXXXXX")
  PIDS=()
  ENTRIES=()
  ENTRY_PIDS=()
  trap stop_all EXIT
  trap 'exit 130' INT TERM

  # Each estate uses the loopback network of its targets, so that two estates run side by side.
  local network
  network=$(sheet_column target 5 | head -n 1 | cut -d. -f1-2)
  PLATFORM=$network.101.1:7100
  TARGETS_CONTROL=$network.101.2:7200
  ENTRY_NETWORK=$network.100
  mapfile -t REGIONS < <(sheet_column region 2)
  mapfile -t DOMAINS < <(sheet_column domain 2)
  mapfile -t SERVICES < <(sheet_column service 2)
  STORE_REGION=${REGIONS[0]}
  RANDOM=$SEED
}

require_files() {
  local file
  for file in "$@"; do
    [ -e "$file" ] || { echo "missing: $file" >&2; exit 2; }
  done
}

# sheet_column KIND COLUMN: one column of all rows of a kind, counted from 1.
sheet_column() {
  tr -d '\r' <"$SHEET" | awk -F, -v kind="$1" -v column="$2" '$1 == kind { print $column }'
}

# sheet_lookup KIND NAME COLUMN: one column of the row of a kind with a name.
sheet_lookup() {
  tr -d '\r' <"$SHEET" |
    awk -F, -v kind="$1" -v name="$2" -v column="$3" '$1 == kind && $2 == name { print $column }'
}

# targets_of SERVICE: the ids of its targets.
targets_of() {
  tr -d '\r' <"$SHEET" | awk -F, -v name="$1" '$1 == "target" && $3 == name { print $2 }'
}

# start_process NAME COMMAND...: runs a command in the background with its log in WORK_DIR and
# sets LAST_PID.
start_process() {
  local name=$1
  shift
  "$@" >"$WORK_DIR/$name.log" 2>&1 &
  LAST_PID=$!
  PIDS+=("$LAST_PID")
}

# stop_all: ends every process that start_process started. Keeps the logs after a failure.
stop_all() {
  local status=$? pid n
  trap - EXIT
  for pid in "${PIDS[@]}"; do kill "$pid" 2>/dev/null || true; done
  for ((n = 0; n < 50; ++n)); do
    kill -0 "${PIDS[@]}" 2>/dev/null || break
    sleep 0.1
  done
  for pid in "${PIDS[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  if [ "$status" -eq 0 ]; then
    rm -rf "$WORK_DIR"
  else
    echo "logs: $WORK_DIR" >&2
  fi
  exit "$status"
}

# wait_until SECONDS WHAT COMMAND...: repeats a command until it succeeds.
wait_until() {
  local end=$((SECONDS + $1)) what=$2
  shift 2
  until "$@" >/dev/null 2>&1; do
    if [ "$SECONDS" -ge "$end" ]; then
      echo "gave up waiting: $what" >&2
      return 1
    fi
    sleep 0.1
  done
}

http_get() { curl -sf --max-time 2 "http://$1"; }

# http_put URL JSON
http_put() { curl -sf --max-time 2 -X PUT -d "$2" "http://$1" >/dev/null; }

start_platform() {
  start_process platform "$BIN/lycheebay-platform-standin" --listen "$PLATFORM" "$@"
  wait_until 10 "the platform" http_get "$PLATFORM/faults"
}

start_targets() {
  start_process targets "$BIN/lycheebay-target-standin" --sheet "$SHEET" \
    --control "$TARGETS_CONTROL" --seed "$SEED" "$@"
  wait_until 10 "the targets" http_get "$TARGETS_CONTROL/control/report"
}

# control_target ID JSON
control_target() { http_put "$TARGETS_CONTROL/control/targets/$1" "$2"; }

# control_domain NAME JSON: all targets of a failure domain.
control_domain() { http_put "$TARGETS_CONTROL/control/domains/$1" "$2"; }

# start_entry NUMBER FAILURE_DOMAIN [FLAGS...]: starts one entry and registers it at the platform.
start_entry() {
  local number=$1 domain=$2 region id host seed
  shift 2
  region=$(sheet_lookup domain "$domain" 3)
  id=$(printf 'entry-%02d' "$number")
  host=$ENTRY_NETWORK.$number
  local peers=()
  for seed in "${PEER_SEEDS[@]}"; do peers+=(--peer "$seed"); done
  start_process "$id" "$BIN/lycheebayd" --instance-id "$id" --region "$region" \
    --failure-domain "$domain" --listen "$host:8080" --peer-listen "$host:8081" \
    "${peers[@]}" --platform "$PLATFORM" --store-region "$STORE_REGION" "$@"
  ENTRIES[number]=$host:8080
  ENTRY_PIDS[number]=$LAST_PID
  # An entry finds its peers by its seeds too, so it may start while the platform is down.
  http_put "$PLATFORM/instances/$id" "{\"address\":\"$host:8081\",\"state\":\"live\"}" ||
    echo "could not register $id at the platform" >&2
}

# kill_entry NUMBER: ends an entry as a crash does.
kill_entry() {
  kill -9 "${ENTRY_PIDS[$1]}"
  # Keeps the shell from reporting the signal.
  wait "${ENTRY_PIDS[$1]}" 2>/dev/null || true
}

# every_entry PATH: succeeds when all entries answer a path with 200.
every_entry() {
  local address
  for address in "${ENTRIES[@]}"; do http_get "$address$1" || return 1; done
}

# start_entries COUNT [FLAGS...]: spreads entries evenly over the failure domains.
start_entries() {
  local count=$1 number
  shift
  # One seed in each half, which are different failure domains.
  PEER_SEEDS=("$ENTRY_NETWORK.1:8081" "$ENTRY_NETWORK.2:8081" "$ENTRY_NETWORK.3:8081")
  for ((number = 1; number <= count; ++number)); do
    start_entry "$number" "$(entry_domain "$number")" "$@"
  done
  wait_until 30 "the entries to listen" every_entry /healthz
}

# entry_domain NUMBER: odd entries go to the first region and even ones to the second, and in each
# region they alternate between its failure domains.
entry_domain() {
  local region=${REGIONS[$((($1 - 1) % ${#REGIONS[@]}))]}
  local domains
  mapfile -t domains < <(tr -d '\r' <"$SHEET" |
    awk -F, -v region="$region" '$1 == "domain" && $3 == region { print $2 }')
  echo "${domains[$((($1 - 1) / ${#REGIONS[@]} % ${#domains[@]}))]}"
}

ctl() { "$BIN/lycheebayctl" --entry "${ENTRIES[1]}" "$@"; }

# start_estate ENTRY_COUNT [ENTRY_FLAGS...]: the whole estate with its sheet published and every
# entry ready.
start_estate() {
  start_platform
  start_targets
  start_entries "$@"
  wait_until 30 "the sheet to be published" ctl sheet publish "$SHEET"
  wait_until 60 "every entry to be ready" every_entry /readyz
}

# entry_flags: an --entry flag of the load tool for each entry, one word a line.
entry_flags() { printf -- '--entry\n%s\n' "${ENTRIES[@]}"; }

# rule_violations: starts of work that a target must not have been given.
rule_violations() {
  http_get "$TARGETS_CONTROL/control/report" | jq '[.violations[]] | add'
}
