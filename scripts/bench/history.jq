# Statistics over an array of records of a history that lycheebay-load wrote.

# Nearest-rank percentile of an array of numbers; null when it is empty.
def percentile($share):
  if length == 0 then null else sort | .[[((length * $share) | ceil) - 1, 0] | max] end;
def percentiles: {p50Ms: percentile(0.5), p99Ms: percentile(0.99), p999Ms: percentile(0.999)};

def latencyMs: (.endUs - .intendedUs) / 1000;
def isDone: .outcome == "done" and (.tries[-1].status // 0) < 300;

def outcomes:
  {sent: length,
   done: map(select(isDone)) | length,
   failed: map(select(.outcome == "done" and (isDone | not))) | length,
   refused: map(select(.outcome == "not-run")) | length,
   unknown: map(select(.outcome == "unknown")) | length};

def summary: outcomes + (map(select(isDone) | latencyMs) | percentiles);
def byKind:
  {lookups: map(select(.kind == "lookup")) | summary,
   orders: map(select(.kind == "order")) | summary};

def since($seconds): map(select(.intendedUs >= $seconds * 1000000));

# Outcomes and 99th percentile of every second of the run.
def perSecond:
  group_by(.intendedUs / 1000000 | floor)
  | map({second: (.[0].intendedUs / 1000000 | floor)} + outcomes
        + {p99Ms: (map(select(isDone) | latencyMs) | percentile(0.99))});

# Share of requests that were refused, failed, or slower than ten times the median.
def badShare($medianMs):
  if length == 0 then null
  else (map(select((isDone | not) or latencyMs > 10 * $medianMs)) | length) / length end;

# First second from which p99 stays under $limitMs for three seconds; null when there is none.
def steadyFrom($second; $limitMs):
  . as $all
  | [range(0; length - 2) | select($all[.].second >= $second)
     | select([$all[.:. + 3][] | .p99Ms != null and .p99Ms <= $limitMs] | all)
     | $all[.].second] | first;
