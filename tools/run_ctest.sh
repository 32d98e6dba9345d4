#!/usr/bin/env bash
# SPDX-License-Identifier: MIT
# Runs all tests of a build folder in one call of ctest. Tests run in parallel, except those that start
# programs, which run alone (RUN_SERIAL). Ignores failures of the tests that KNOWN-RED.txt lists; that file has
# at most three lines of the form "test, cause, issue". Usage: tools/run_ctest.sh BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1

# Prints the test names as ctest lists them; further arguments are passed to ctest to filter the list.
list_tests_in() { ctest --test-dir "$1" --show-only "${@:2}" | sed -n -e 's/ (Disabled)$//' -e 's/^ *Test *#[0-9]*: //p'; }
list_tests() { list_tests_in "$build" "$@"; }
all_tests=$(list_tests)
[ -n "$all_tests" ] || { echo "no tests in $build"; exit 1; }

known_red=
if [ -s KNOWN-RED.txt ]; then
  echo "KNOWN-RED.txt:"
  cat KNOWN-RED.txt
  known_red=$(sed -e '/^[[:space:]]*$/d' -e 's/[[:space:]]*,.*//' KNOWN-RED.txt)
  [ "$(grep -c . <<<"$known_red")" -le 3 ] || { echo "KNOWN-RED.txt lists more than three tests"; exit 1; }
  unknown=$(grep -vxFf <(echo "$all_tests") <<<"$known_red") || true
  [ -z "$unknown" ] || { echo "KNOWN-RED.txt lists unknown tests: $unknown"; exit 1; }
fi

# A test file that includes one of these headers starts programs, so its tests must not share the machine.
suites=$(grep -rlE --include='*.cpp' '#include "([a-z_]+/)*(started_program|loopback|cluster)\.h"' tests |
  xargs -r sed -nE 's/^(TYPED_)?TEST(_[FP])?\((\w+),.*/\3/p' | sort -u | paste -sd '|')
[ -n "$suites" ] || { echo "found no test that starts programs: the list of headers in $0 is out of date"; exit 1; }
serial=$(list_tests -R "^(.*/)?($suites)\\." ; list_tests -L cluster)
[ -n "$serial" ] || { echo "no test of the suites $suites in $build"; exit 1; }

# Creates a test folder that includes the one of the build and marks the serial tests.
ordered=$build/ordered
mkdir -p "$ordered"
{
  echo "subdirs(\"$build\")"
  sort -u <<<"$serial" | sed 's/.*/set_tests_properties([==[&]==] PROPERTIES RUN_SERIAL ON)/'
} >"$ordered/CTestTestfile.cmake"
[ "$(list_tests_in "$ordered" | sort)" = "$(sort <<<"$all_tests")" ] ||
  { echo "the tests of $ordered and $build differ"; exit 1; }

failed_log=$ordered/Testing/Temporary/LastTestsFailed.log
rm -f "$failed_log"
status=0
ctest --test-dir "$ordered" --output-on-failure -j"$(nproc)" || status=$?
[ "$status" -ne 0 ] || exit 0

# ctest exits with 8 if tests failed; any other status is an error of the run itself.
[ "$status" -eq 8 ] && [ -s "$failed_log" ] && [ -n "$known_red" ] || exit "$status"
unexpected=$(sed 's/^[0-9]*://' "$failed_log" | grep -vxF "$known_red") || true
[ -z "$unexpected" ] || exit "$status"
echo "only tests of KNOWN-RED.txt failed:"
cat KNOWN-RED.txt
