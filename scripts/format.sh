#!/usr/bin/env bash
# Checks (--check) or rewrites (--fix) the formatting of every tracked or new C++ file.
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.h' |
  grep -v _generated.h | while read -r file; do [ -e "$file" ] && echo "$file"; done)
if [ "${1:---check}" = --fix ]; then
  clang-format -i "${files[@]}"
else
  clang-format --dry-run --Werror "${files[@]}"
fi
