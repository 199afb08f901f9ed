#!/usr/bin/env bash
# Builds the programs of the cases into build-review/, with their stand-ins.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../build-review
for case in tests/*.cc; do
  name=$(basename "$case" .cc)
  [ "$name" = harness ] && continue
  g++ -std=c++17 -O1 -Wall -Wextra -pthread -o "../build-review/$name" "$case" tests/harness.cc
done
