#!/bin/sh
# Builds the stand-ins of all cases into review/.build. Needs only the compiler that the deploy file needs.
set -eu
cd "$(dirname "$0")"
mkdir -p .build
for source in [1-3]/case.cpp; do
  number=${source%/case.cpp}
  ${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -I. "$source" -o ".build/case$number" -pthread &
  pids="${pids:-} $!"
done
for pid in ${pids:-}; do wait "$pid"; done
