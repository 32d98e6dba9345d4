#!/usr/bin/env bash
# SPDX-License-Identifier: MIT
# Runs clang-tidy with .clang-tidy over src/ and include/, several files at once; fails on any finding.
# Usage: tools/tidy.sh [build folder [clang-tidy arguments]]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build-lint}
shift || true
jobs=${JOBS:-$(nproc)}

bash tools/tidy_database.sh "$build"

# One file; its findings are printed at once, so that those of two files do not mix.
check_file() {
  local build=$1 file=$2 output status=0
  shift 2
  output=$(clang-tidy -p "$build" --quiet "$@" "$file" 2>&1) || status=1
  if [ "$status" -ne 0 ] || grep -qE '(warning|error): ' <<<"$output"; then
    printf '%s\n' "$output"
    return 1
  fi
}
export -f check_file

# The largest files first: none of them is left to run alone at the end.
git ls-files -z 'src/*.cpp' | xargs -0 ls -S |
  xargs -d '\n' -P "$jobs" -I '{}' bash -c 'check_file "$@"' check_file "$build" '{}' "$@"
