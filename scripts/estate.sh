#!/usr/bin/env bash
# Starts an estate on loopback addresses, with stand-ins for the platform and the targets, and keeps
# it until it is interrupted or its standard input ends.
# usage: estate.sh [--build DIR] [--sheet FILE] [--entries N] [ENTRY_FLAGS...]
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/lib.sh
. scripts/lib.sh

build=build sheet=examples/small.csv entries=4
while [ $# -gt 0 ]; do
  case $1 in
    --build) build=$2 ;;
    --sheet) sheet=$2 ;;
    --entries) entries=$2 ;;
    *) break ;;
  esac
  shift 2
done

SHEET=$sheet
init_estate "$build" "$(basename "$sheet" .csv)" 1
start_platform
start_targets
start_entries "$entries" "$@"
wait_until 30 "the sheet to be published" ctl sheet publish "$SHEET"
wait_until 60 "every entry to be ready" every_entry /readyz
echo "platform $PLATFORM, control of the targets $TARGETS_CONTROL, logs in $WORK_DIR"
for number in "${!ENTRIES[@]}"; do
  echo "entry-0$number ${ENTRIES[$number]} $(entry_domain "$number"), process ${ENTRY_PIDS[$number]}"
done
echo "ready; press Enter to stop"
read -r _ || true
