#!/usr/bin/env bash
# SPDX-License-Identifier: MIT
# Runs clang-tidy with .clang-tidy on src/ and include/, several files in parallel; fails on any finding.
# Usage: tools/tidy.sh [build folder [clang-tidy arguments]]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build-lint}
shift || true
jobs=${JOBS:-$(nproc)}

bash tools/tidy_database.sh "$build"

# Checks one file and prints its findings in one piece, so that the output of parallel runs doesn't interleave.
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

# Starts with the largest files, so that no long check is still running alone at the end.
git ls-files -z 'src/*.cpp' | xargs -0 ls -S |
  xargs -d '\n' -P "$jobs" -I '{}' bash -c 'check_file "$@"' check_file "$build" '{}' "$@"
