#!/usr/bin/env bash
# SPDX-License-Identifier: MIT
# Applies the fixes of the named clang-tidy checks to src/ and include/ and formats the changed code.
# Review the changes and run the tests before you commit them.
# Usage: tools/tidy-fix.sh CHECK[,CHECK...] [build folder]
set -euo pipefail
cd "$(dirname "$0")/.."
[ $# -ge 1 ] || { sed -n '3,5s/^# //p' "$0"; exit 2; }
checks=$1
build=${2:-build-lint}

[ -z "$(git status --porcelain -- src include)" ] || { echo "commit or stash src and include first"; exit 1; }
bash tools/tidy_database.sh "$build"

# run-clang-tidy collects the fixes of all files and applies each once, including those in shared headers. It
# fails on findings without a fix, which need a manual change.
run-clang-tidy -p "$build" -quiet -j "${JOBS:-$(nproc)}" -checks="-*,$checks" -fix -format -style=file \
  "^$PWD/src/.*\.cpp$" || echo "findings without a fix remain, see above"
git diff --stat -- src include
