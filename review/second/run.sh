#!/usr/bin/env bash
# Runs a case of the second review: run.sh FOLDER PROGRAM. Writes record.txt in FOLDER.
set -uo pipefail
folder=$(cd "$1" && pwd)
project=$(cd "$(dirname "$0")/../.." && pwd)
program=$project/target/review-2/$2
if [ ! -x "$program" ] || [ ! -x "$project/target/banyanlane" ]; then
  echo "the case needs the build of the deploy file and review/build-2.sh"
  exit 2
fi
temporary=$(mktemp -d)
trap 'rm -rf "$temporary"' EXIT
PROJECT=$project CASE_TMP=$temporary timeout --kill-after=2 115 "$program" "$folder/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
