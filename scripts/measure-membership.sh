#!/usr/bin/env bash
# Prints the cost of membership per node as a table: traffic with the headers of IP and UDP, processor time, memory.
# Usage: scripts/measure-membership.sh [BUILD_DIR]
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${1:-build}
[ -x "$build_dir/tests/unit_tests" ] || scripts/build.sh "$build_dir"
echo "state machines and codec on a simulated clock, 120 s each:"
"$build_dir/tests/unit_tests" "print the cost of membership" | grep '^|'
echo
echo "whole transport on loopback sockets, 20 s each:"
"$build_dir/tests/contract_tests" "print the cost of membership on loopback" | grep '^|'
