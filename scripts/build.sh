#!/usr/bin/env bash
# Configures and builds everything. Usage: scripts/build.sh [BUILD_DIR] [extra CMake arguments]
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${1:-build}
shift || true
cmake -S . -B "$build_dir" -G Ninja -DCMAKE_EXPORT_COMPILE_COMMANDS=ON "$@" >/dev/null
cmake --build "$build_dir"
