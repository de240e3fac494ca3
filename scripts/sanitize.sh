#!/usr/bin/env bash
# Builds and tests with sanitizers. Usage: scripts/sanitize.sh address|thread [ctest arguments]
set -euo pipefail
cd "$(dirname "$0")/.."
kind=${1:-address}
shift || true
# With the address sanitizer, g++ 12 reports false warnings about uninitialized members of std::regex.
case "$kind" in
    address) flags="-fsanitize=address,undefined -fno-sanitize-recover=undefined -Wno-maybe-uninitialized" ;;
    thread) flags="-fsanitize=thread" ;;
    *) echo "usage: scripts/sanitize.sh address|thread [ctest arguments]" >&2; exit 2 ;;
esac
scripts/install-deps.sh
scripts/build.sh "build-$kind" -DCMAKE_BUILD_TYPE=RelWithDebInfo "-DCMAKE_CXX_FLAGS=$flags"
ctest --test-dir "build-$kind" --output-on-failure --timeout 600 -j "$(nproc)" "$@"
