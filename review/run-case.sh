#!/usr/bin/env bash
# run-case.sh FOLDER PROGRAM [RECORD]: runs a case and writes RECORD, or record.txt, into its folder.
set -uo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
program=$root/review/build/$2
if [ ! -x "$program" ] || [ ! -x "$root/target/banyanlane" ]; then
  echo "build first: the line build of deploy/system.toml, then review/build.sh"
  exit 2
fi
temporary=$(mktemp -d)
trap 'rm -rf "$temporary"' EXIT
timeout 115 "$program" "$root" "$temporary" "$1/${3:-record.txt}"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
