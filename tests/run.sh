#!/usr/bin/env bash
# SPDX-License-Identifier: MIT
# Builds with sanitizers and with warnings as errors, builds and runs the example against an installed copy,
# builds the release program, then runs the tests. Usage: tests/run.sh [build folder]
# Tests run in parallel, except those that start programs, which run one at a time. Failures of tests that
# KNOWN-RED.txt lists are ignored.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build-tests}
[[ $build = /* ]] || build=$PWD/$build  # an absolute path is used unchanged

cmake -S . -B "$build" -DCMAKE_BUILD_TYPE=Debug -DEDGE_PROXY_TESTS=ON -DEDGE_PROXY_WERROR=ON \
  -DEDGE_PROXY_SANITIZE=ON
cmake --build "$build" -j"$(nproc)"

cmake -S . -B "$build/plain" -DEDGE_PROXY_SIMULATOR_ADAPTER=OFF -DEDGE_PROXY_PROGRAM=OFF
cmake --build "$build/plain" -j"$(nproc)"
cmake --install "$build/plain" --prefix "$build/prefix"
cmake -S examples/consumer -B "$build/consumer" -DCMAKE_PREFIX_PATH="$build/prefix"
cmake --build "$build/consumer"
"$build/consumer/consumer"

# Builds the program as operators do, for the tests whose results a sanitizer would affect.
cmake -S . -B "$build/deployed" -DCMAKE_BUILD_TYPE=Release -DEDGE_PROXY_SIMULATOR_ADAPTER=OFF
cmake --build "$build/deployed" -j"$(nproc)" --target edge-proxy
export EDGE_PROXY_DEPLOYED=$build/deployed/edge-proxy

bash tools/run_ctest.sh "$build"
