# shellcheck shell=bash disable=SC2034
# Faults for the randomised run. Each fault function starts one and sets FAULT_UNDO to the command
# that ends it. Source lib.sh first.

CRASH_MARKER=crash-this-target
FAULT_COUNT=0
FAULT_KINDS=(kill_entry stop_entry freeze_entry stop_target drain_target degrade_target cool_target
             platform_down platform_slow lose_answers lag_list drain_domain operators_race
             crash_request)

random_item() { local items=("$@"); echo "${items[$((RANDOM % ${#items[@]}))]}"; }

random_target() { random_item $(sheet_column target 2); }

# Entry 1 serves the commands of the operator, so it stays.
random_entry() { echo $((RANDOM % (ENTRY_COUNT - 1) + 2)); }

restart_entry() { start_entry "$1" "$(entry_domain "$1")" "${ENTRY_EXTRA_FLAGS[@]}"; }

fault_kill_entry() {
  local entry
  entry=$(random_entry)
  kill_entry "$entry"
  FAULT_NAME="kill entry $entry"
  FAULT_UNDO="restart_entry $entry"
}

fault_stop_entry() {
  local entry
  entry=$(random_entry)
  kill -TERM "${ENTRY_PIDS[$entry]}"
  FAULT_NAME="stop entry $entry"
  FAULT_UNDO="finish_stop_entry $entry"
}

finish_stop_entry() {
  wait_until 40 "entry $1 to leave" process_ended "${ENTRY_PIDS[$1]}" || kill_entry "$1"
  restart_entry "$1"
}

process_ended() { ! kill -0 "$1" 2>/dev/null; }

fault_freeze_entry() {
  local entry
  entry=$(random_entry)
  kill -STOP "${ENTRY_PIDS[$entry]}"
  FAULT_NAME="freeze entry $entry"
  FAULT_UNDO="kill -CONT ${ENTRY_PIDS[$entry]}"
}

target_fault() {
  local target=$1 begin=$2 end=$3
  control_target "$target" "$begin"
  FAULT_NAME="target $target $begin"
  FAULT_UNDO="control_target $target $end"
}

fault_stop_target() { target_fault "$(random_target)" '{"stopped":true}' '{"stopped":false}'; }
fault_drain_target() { target_fault "$(random_target)" '{"draining":true}' '{"draining":false}'; }
fault_cool_target() { target_fault "$(random_target)" '{"cold":1,"coldForMs":3000}' '{}'; }

fault_degrade_target() {
  local fault
  fault=$(random_item '{"hangShare":3}' '{"failFast":1}' '{"halfAnswerShare":4}' '{"slowFactor":5}' \
    '{"lateAnswerMs":300}' '{"shed":1}' '{"loadLie":0}')
  target_fault "$(random_target)" "$fault" \
    '{"hangShare":0,"failFast":0,"halfAnswerShare":0,"slowFactor":0,"lateAnswerMs":0,"shed":0,"loadLie":-1}'
}

platform_fault() {
  http_put "$PLATFORM/faults" "$1"
  FAULT_NAME="platform $1"
  FAULT_UNDO="http_put $PLATFORM/faults $2"
}

fault_platform_down() { platform_fault '{"down":true}' '{"down":false}'; }
fault_platform_slow() { platform_fault '{"slowMs":700}' '{"slowMs":0}'; }
fault_lose_answers() { platform_fault '{"loseAnswers":3}' '{"loseAnswers":0}'; }
fault_lag_list() { platform_fault '{"listLagMs":60000}' '{"listLagMs":1000}'; }

fault_drain_domain() {
  local domain
  domain=$(random_item "${DOMAINS[@]}")
  FAULT_NAME="drain domain $domain"
  FAULT_UNDO=true
  # The change is refused while the platform is down; then no rule applies.
  if ctl domain drain "$domain" >>"$WORK_DIR/ctl.log" 2>&1; then
    control_domain "$domain" '{"noWorkAfterMs":3000}'
    FAULT_UNDO="restore_domain $domain"
  fi
}

restore_domain() {
  control_domain "$1" '{"noWorkAfterMs":-1}'
  wait_until 60 "domain $1 to be restored" ctl domain restore "$1"
}

fault_operators_race() {
  local target first second
  target=$(random_target)
  first=${ENTRIES[$(random_entry)]}
  second=${ENTRIES[$(random_entry)]}
  timeout 20 "$BIN/lycheebayctl" --entry "$first" target drain "$target" >>"$WORK_DIR/ctl.log" 2>&1 &
  timeout 20 "$BIN/lycheebayctl" --entry "$second" target drain "$target" >>"$WORK_DIR/ctl.log" 2>&1 || true
  wait $! || true
  FAULT_NAME="operators race for $target"
  FAULT_UNDO="wait_until 60 restore ctl target restore $target"
}

# One caller sends a request that crashes its target through every entry, again and again.
fault_crash_request() {
  local id=$RANDOM-$FAULT_COUNT before entry
  before=$(crash_count)
  for entry in "${ENTRIES[@]}" "${ENTRIES[@]}"; do
    curl -s -o /dev/null --max-time 2 "http://$entry/services/${SERVICES[0]}/items/$CRASH_MARKER-$id" || true
  done
  local crashes=$(($(crash_count) - before))
  [ "$crashes" -le 2 ] || echo "crashes $crashes by $id" >>"$WORK_DIR/poison.log"
  FAULT_NAME="crash request, $crashes crashes"
  FAULT_UNDO=true
}

crash_count() { http_get "$TARGETS_CONTROL/control/report" | jq .totals.crashes; }

poison_violations() { if [ -e "$WORK_DIR/poison.log" ]; then wc -l <"$WORK_DIR/poison.log"; else echo 0; fi; }

# run_faults SECONDS: starts a random fault every few seconds; at most two overlap.
run_faults() {
  local end=$((SECONDS + $1))
  UNDO_FIRST=true
  UNDO_SECOND=true
  while [ $((SECONDS + 4)) -lt "$end" ]; do
    FAULT_UNDO=true
    "fault_$(random_item "${FAULT_KINDS[@]}")" || echo "soak: fault failed: $FAULT_NAME"
    FAULT_COUNT=$((FAULT_COUNT + 1))
    echo "soak: $SECONDS s, $FAULT_NAME"
    sleep $((RANDOM % 4 + 1))
    undo "$UNDO_FIRST"
    UNDO_FIRST=$UNDO_SECOND
    UNDO_SECOND=$FAULT_UNDO
  done
}

# undo COMMAND: ends a fault; the run goes on when that fails.
undo() { $1 || echo "soak: could not undo: $1"; }

end_all_faults() {
  # Changes cannot be published before the platform is back.
  http_put "$PLATFORM/faults" '{"down":false,"slowMs":0,"loseAnswers":0,"listLagMs":1000}'
  undo "$UNDO_FIRST"
  undo "$UNDO_SECOND"
  UNDO_FIRST=true
  UNDO_SECOND=true
}

revision_of() { http_get "$1/admin/v1/revision" | cut -d' ' -f1; }

same_revision() {
  local address revision first=
  for address in "${ENTRIES[@]}"; do
    revision=$(revision_of "$address") || return 1
    [ "${first:=$revision}" = "$revision" ] || return 1
  done
}

# Prints "reverted" when an incarnation reports a lower revision than before. The answer of
# /admin/v1/revision is "<revision> <incarnation> <next offset>".
watch_revisions() {
  declare -A newest
  local address incarnation revision
  while true; do
    for address in "${ENTRIES[@]}"; do
      read -r revision incarnation _ < <(http_get "$address/admin/v1/revision") || continue
      if [ "$revision" -lt "${newest[$incarnation]:-0}" ]; then
        echo "reverted $address from ${newest[$incarnation]} to $revision"
      fi
      newest[$incarnation]=$revision
    done
    sleep 0.5
  done
}
