#!/bin/sh
# Runs the case whose folder is the first argument, in a temporary folder that is removed afterwards. Exit
# code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
case=$(cd "$1" && pwd) || exit 2
number=$(basename "$case")
root=$(cd "$case/../.." && pwd) || exit 2
[ -x "$root/build/edge-proxy" ] && [ -x "$root/review/.build/case$number" ] || exit 2
folder=$(mktemp -d) || exit 2
timeout -k 5 110 "$root/review/.build/case$number" "$root" "$folder" "$case/record.txt"
code=$?
rm -rf "$folder"
case $code in
  0 | 1) exit "$code" ;;
  *) exit 2 ;;
esac
