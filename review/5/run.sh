#!/usr/bin/env bash
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/lycheebay-platformd ] && [ -x target/review/case-5 ] || exit 2
CASE_FOLDER=review/5 exec timeout --kill-after=5 115 target/review/case-5
