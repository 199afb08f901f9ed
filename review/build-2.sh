#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases into target/review-2/. They need only a C++ compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
source=review/second/tests
for case_file in "$source"/*_case.cc; do
  name=$(basename "$case_file" _case.cc)
  g++ -std=c++17 -O1 -Wall -Wextra -pthread "$source/harness.cc" "$case_file" -o "target/review-2/$name"
done
