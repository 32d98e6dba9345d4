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

cmake -S . -B "$build" -DCMAKE_BUILD_TYPE=Debug -DDAHLIAHALL_TESTS=ON -DDAHLIAHALL_WERROR=ON \
  -DDAHLIAHALL_SANITIZE=ON
cmake --build "$build" -j"$(nproc)"

cmake -S . -B "$build/plain" -DDAHLIAHALL_BENCHLINK=OFF -DDAHLIAHALL_PROXY=OFF
cmake --build "$build/plain" -j"$(nproc)"
cmake --install "$build/plain" --prefix "$build/prefix"
cmake -S examples/consumer -B "$build/consumer" -DCMAKE_PREFIX_PATH="$build/prefix"
cmake --build "$build/consumer"
"$build/consumer/consumer"

# The program as operators build it, for the tests that a sanitizer would disturb.
cmake -S . -B "$build/deployed" -DCMAKE_BUILD_TYPE=Release -DDAHLIAHALL_BENCHLINK=OFF
cmake --build "$build/deployed" -j"$(nproc)" --target dahliahall_proxy
export DAHLIAHALL_DEPLOYED=$build/deployed/dahliahall

bash tools/run_ctest.sh "$build"
