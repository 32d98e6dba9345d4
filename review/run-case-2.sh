#!/usr/bin/env bash
# Runs one of the cases 6 to 10: 1 if its rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/.." || exit 2
program=build/review-2/case-$1
if [ ! -x "$program" ] || [ ! -x build/edge-proxy ]; then
  echo "the case could not run: run the build of the deploy file and review/build-2.sh first" >&2
  exit 2
fi
timeout --kill-after=5 115 "$program" "$PWD" "$PWD/review/$1/record.txt"
code=$?
if [ "$code" -gt 1 ]; then exit 2; fi
exit "$code"
