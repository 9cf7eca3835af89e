#!/usr/bin/env bash
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/lycheebay-platformd ] && [ -x target/review/case-3 ] || exit 2
export TROUBLE="${TROUBLE:-1}"
CASE_FOLDER=review/3 exec timeout --kill-after=5 115 target/review/case-3
