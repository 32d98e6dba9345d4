#!/usr/bin/env bash
# SPDX-License-Identifier: MIT
# Runs the linters: clang-format on all sources, a check of the doc comments of all headers, and clang-tidy on
# src/ and include/. All of them run; the script fails if any failed. Usage: tools/lint.sh [build folder]
set -uo pipefail
cd "$(dirname "$0")/.."
build=${1:-build-lint}
failed=()

# Other releases format differently and have other checks; the result must not depend on the machine.
for tool in clang-format clang-tidy clang++; do
  "$tool" --version | grep -q 'version 14\.' || { echo "$tool 14 is needed (package of Debian 12)"; exit 1; }
done

check_format() { git ls-files -z '*.h' '*.cpp' | xargs -0 clang-format --dry-run -Werror; }

# Every header must have an @file comment, and doc comments must not name parameters that don't exist.
check_doc_comments() {
  local headers includes without
  headers=$(git ls-files 'src/*.h' 'include/*.h')
  if without=$(xargs grep -L '^/// @file' <<<"$headers") && [ -n "$without" ]; then
    printf 'no @file comment: %s\n' $without
    return 1
  fi
  mapfile -t includes < <(grep -ohE -- '(-I|-isystem )[^ "]+' "$build/compile_commands.json" | sort -u | tr ' ' '\n')
  sed 's/.*/#include "&"/' <<<"$headers" |
    clang++ -std=c++20 -fsyntax-only -Wdocumentation -Werror -I. "${includes[@]}" -x c++ -
}

run() {
  local start=$SECONDS verdict=passed
  "${@:2}" || { verdict=FAILED; failed+=("$1"); }
  echo "lint: $1 $verdict after $((SECONDS - start)) s"
}

bash tools/tidy_database.sh "$build" || exit 1
run clang-format check_format
run "doc comments" check_doc_comments
run clang-tidy bash tools/tidy.sh "$build"
[ "${#failed[@]}" -eq 0 ]
