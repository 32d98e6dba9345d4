#!/usr/bin/env bash
# SPDX-License-Identifier: MIT
# Builds with sanitizers and warnings as errors, runs the tests, then builds and runs the example
# against an installed copy. Usage: tests/run.sh [build folder]
# Tests run side by side, but for those that start programs: they run one after another. A failure of a
# test that KNOWN-RED.txt names is passed over.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build-tests}
[[ $build = /* ]] || build=$PWD/$build  # an absolute folder is taken as it stands

cmake -S . -B "$build" -DCMAKE_BUILD_TYPE=Debug -DEDGE_PROXY_TESTS=ON -DEDGE_PROXY_WERROR=ON \
  -DEDGE_PROXY_SANITIZE=ON
cmake --build "$build" -j"$(nproc)"

cmake -S . -B "$build/plain" -DEDGE_PROXY_SIMULATOR_ADAPTER=OFF -DEDGE_PROXY_PROGRAM=OFF
cmake --build "$build/plain" -j"$(nproc)"
cmake --install "$build/plain" --prefix "$build/prefix"
cmake -S examples/consumer -B "$build/consumer" -DCMAKE_PREFIX_PATH="$build/prefix"
cmake --build "$build/consumer"
"$build/consumer/consumer"

# The program as operators build it, for the tests that a sanitizer would disturb.
cmake -S . -B "$build/deployed" -DCMAKE_BUILD_TYPE=Release -DEDGE_PROXY_SIMULATOR_ADAPTER=OFF
cmake --build "$build/deployed" -j"$(nproc)" --target edge-proxy
export EDGE_PROXY_DEPLOYED=$build/deployed/edge-proxy

bash tools/run_ctest.sh "$build"
