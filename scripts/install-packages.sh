#!/usr/bin/env bash
# Installs the Debian packages that building and checking lycheebay needs.
set -euo pipefail

packages=(
  g++ cmake ninja-build ccache pkg-config clang-format clang-tidy curl jq
  libasio-dev libcpp-httplib-dev libflatbuffers-dev prometheus-cpp-dev
  libtclap-dev liblog4cplus-dev libabsl-dev libcppunit-dev librapidcheck-dev libboost-dev libyaml-cpp-dev
  liburcu-dev libxxhash-dev nlohmann-json3-dev libcsv-dev libbenchmark-dev libfmt-dev libssl-dev zlib1g-dev
)

missing=()
for name in "${packages[@]}"; do
  if ! dpkg-query -W -f='${Status}' "$name" 2>/dev/null | grep -q 'install ok installed'; then
    missing+=("$name")
  fi
done
if [ "${#missing[@]}" -eq 0 ]; then
  exit 0
fi
echo "installing: ${missing[*]}"
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends -qq "${missing[@]}" >/dev/null
