#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases into target/review/. They need the compiler only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for part in net estate; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -c "review/$part.cpp" -o "target/review/$part.o"
done
for source in review/[1-5]/case.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" target/review/net.o target/review/estate.o \
    -o "target/review/case-$number"
done
