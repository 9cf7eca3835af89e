#!/usr/bin/env bash
# Installs the library and builds and runs examples/embed against the installed tree only. Guards
# against a public header that is not installed or includes a private one, against a dependency
# missing from the CMake package, and against public headers that impose Asio, the HTTP library or
# FlatBuffers on the programs that embed the library.
# usage: embed.sh CMAKE SOURCE_DIR BUILD_DIR
set -euo pipefail

cmake=$1 source=$2 build=$3
work=$build/embed
headers=$work/prefix/include/lycheebay

rm -rf "$work"
"$cmake" --install "$build" --prefix "$work/prefix" >/dev/null
[ -e "$headers/routing/celldispatcher.h" ] || { echo "no headers were installed" >&2; exit 1; }

status=0
forbidden='^[[:space:]]*#[[:space:]]*include[[:space:]]*[<"](asio|httplib|flatbuffers|.*_generated\.h|(.*/)?(internal|generated)/)'
if grep -rnE "$forbidden" "$headers"; then
  echo "public headers must not include the headers above" >&2
  status=1
fi
# Every project header that a public header includes is installed, too.
while IFS=: read -r file include; do
  include=${include#*\"}
  include=${include%%\"*}
  if [ ! -e "$headers/$include" ]; then
    echo "${file#"$headers"/} includes $include, which is not installed" >&2
    status=1
  fi
done < <(grep -rE '^[[:space:]]*#[[:space:]]*include[[:space:]]*"' "$headers")
[ "$status" -eq 0 ] || exit "$status"

"$cmake" -S "$source/examples/embed" -B "$work/build" -G Ninja -DCMAKE_BUILD_TYPE=Release \
  -DCMAKE_PREFIX_PATH="$work/prefix" >"$work/configure.log" 2>&1 ||
  { cat "$work/configure.log" >&2; exit 1; }
"$cmake" --build "$work/build" >"$work/build.log" 2>&1 || { cat "$work/build.log" >&2; exit 1; }
"$work/build/embed"
