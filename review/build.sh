#!/usr/bin/env bash
# Builds the programs of the cases, with their stand-ins, into review/build/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for case in tests/*.cc; do
  name=$(basename "$case" .cc)
  [ "$name" = harness ] && continue
  g++ -std=c++17 -O1 -Wall -Wextra -pthread -o "build/$name" "$case" tests/harness.cc
done
