#!/usr/bin/env bash
# Fails when a source file is not formatted. With --fix, formats in place.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(--dry-run -Werror)
[ "${1:-}" = "--fix" ] && mode=(-i)
git ls-files -co --exclude-standard -- '*.h' '*.cpp' | xargs -r -P "$(nproc)" -n 8 clang-format --style=file "${mode[@]}"
