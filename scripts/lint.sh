#!/usr/bin/env bash
# Runs clang-tidy on every source file. A file is skipped when neither it nor any header changed
# since its last clean run.
# usage: lint.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."

build=${1:-build}
stamps=${LINT_STAMPS:-$HOME/.cache/lycheebay-lint}
mkdir -p "$stamps"
headers=$( { cat .clang-tidy; git ls-files --cached --others --exclude-standard '*.h' | sort |
  xargs -r cat; } | sha256sum)

lint_one() {
  key=$( { echo "$headers $1"; cat "$1"; } | sha256sum | cut -d' ' -f1)
  [ -e "$stamps/$key" ] && return 0
  clang-tidy --quiet -p "$build" "$1" 2>/dev/null && touch "$stamps/$key"
}
export -f lint_one
export build stamps headers

git ls-files --cached --others --exclude-standard 'src/*.cpp' 'platform/*.cpp' 'standins/*.cpp' 'tools/*.cpp' |
  { grep -v '/tests/' || true; } |
  while read -r file; do if [ -e "$file" ]; then echo "$file"; fi; done |
  xargs -r -P "$(nproc)" -I{} bash -c 'lint_one {}'
echo "lint: clean"
