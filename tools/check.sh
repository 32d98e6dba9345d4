#!/usr/bin/env bash
# SPDX-License-Identifier: MIT
# Runs the checks of CI: the linters, then the tests. Usage: tools/check.sh [build folder of the tests]
set -euo pipefail
cd "$(dirname "$0")/.."

bash tools/lint.sh
bash tests/run.sh "$@"
