#!/usr/bin/env bash
# Runs one case: run.sh NAME FOLDER. Exits with 1 if the rule was broken, 0 if it held and 2
# if the case could not run.
set -u
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/../.." || exit 2
cases=target/review-3/cases
for program in "$cases" target/release/bw-platform-control target/release/bw-platform-entry; do
  [ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
RIG_TMP=$(mktemp -d) || exit 2
export RIG_TMP
trap 'rm -rf "$RIG_TMP"' EXIT
# A time-out ends the whole process group, the programs of the project included.
timeout --kill-after=3 110 "$cases" "$1" "$folder/record.txt" >/dev/null
code=$?
case $code in
  0 | 1) exit $code ;;
  *) exit 2 ;;
esac
