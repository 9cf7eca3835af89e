#!/usr/bin/env bash
# What control costs an entry while there is no load: processor, memory, threads and bytes.
. scripts/bench/common.sh

WINDOW_S=20

start_estate "$ENTRY_COUNT"
sleep "$SETTLE_S"
begin_measurement
mapfile -t bytes_before < <(control_bytes)
ticks_before=()
for pid in "${ENTRY_PIDS[@]}"; do ticks_before+=("$(process_ticks "$pid")"); done
start=$EPOCHREALTIME
sleep "$WINDOW_S"
ticks_after=()
for pid in "${ENTRY_PIDS[@]}"; do ticks_after+=("$(process_ticks "$pid")"); done
end=$EPOCHREALTIME
mapfile -t bytes_after < <(control_bytes)

pids=("${ENTRY_PIDS[@]}")
for n in "${!pids[@]}"; do
  awk '/^VmRSS/ { rss = $2 } /^Threads/ { threads = $2 } END { print rss, threads }' \
    "/proc/${pids[n]}/status" |
    awk -v b="${bytes_before[n]} ${bytes_after[n]}" -v t0="${ticks_before[n]}" \
      -v t1="${ticks_after[n]}" -v s="$start" -v e="$end" -v hz="$(getconf CLK_TCK)" '{
        split(b, v, " "); d = e - s
        printf "{\"cpuShare\":%.5f,\"residentMb\":%.1f,\"threads\":%d,", (t1-t0)/hz/d, $1/1024, $2
        printf "\"sentBytesPerSecond\":%.0f,\"receivedBytesPerSecond\":%.0f}\n", \
          (v[3]-v[1])/d, (v[4]-v[2])/d }'
done | jq -s --argjson window "$WINDOW_S" '
  def spread: {min: min, mean: (add / length), max: max};
  {entries: length, windowSeconds: $window,
   goal: {cpuShare: 0.041, residentMb: 128, bytesPerSecond: 5000},
   cpuShare: (map(.cpuShare) | spread), residentMb: (map(.residentMb) | spread),
   threads: (map(.threads) | spread),
   sentBytesPerSecond: (map(.sentBytesPerSecond) | spread),
   receivedBytesPerSecond: (map(.receivedBytesPerSecond) | spread),
   bytesPerSecond: (map(.sentBytesPerSecond + .receivedBytesPerSecond) | spread),
   perEntry: .}' | write_result "$ENTRY_COUNT-entries"
