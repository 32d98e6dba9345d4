#!/usr/bin/env bash
# SPDX-License-Identifier: MIT
# Configures a build folder for clang-tidy: creates compile_commands.json and the generated protobuf headers,
# without the tests. Usage: tools/tidy_database.sh [build folder]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build-lint}

mkdir -p "$build"
cmake -G Ninja -S . -B "$build" -DCMAKE_BUILD_TYPE=Debug -DCMAKE_EXPORT_COMPILE_COMMANDS=ON >"$build/configure.log" 2>&1 ||
  { cat "$build/configure.log"; exit 1; }
mapfile -t headers < <(ninja -C "$build" -t targets all | sed -n 's/: CUSTOM_COMMAND$//p' |
  grep '\.pb\.h$' | grep -v '^/')
[ "${#headers[@]}" -gt 0 ] || { echo "no generated protobuf headers in $build"; exit 1; }
ninja -C "$build" --quiet "${headers[@]}"

# Fails if a source belongs to no target, since clang-tidy would skip it.
while IFS= read -r source; do
  grep -qF "\"$PWD/$source\"" "$build/compile_commands.json" ||
    { echo "$source is not part of any target in $build"; exit 1; }
done < <(git ls-files 'src/*.cpp')
