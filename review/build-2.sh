#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10, which contain their stand-ins, into build/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/{6,7,8,9,10}/case.cpp; do
  [ -e "$source" ] || continue
  name=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O2 -Wall -Wextra -o "build/review-2/case-$name" "$source"
done
