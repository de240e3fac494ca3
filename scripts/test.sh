#!/usr/bin/env bash
# Runs all checks: dependencies, format, layers, build, lint, and all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-deps.sh
scripts/check-format.sh
scripts/check-layers.sh
scripts/build.sh build -DMARJORAMFOLD_WARNINGS_AS_ERRORS=ON
scripts/lint.sh build
# The platform builds the service alone and with optimization, which may raise other warnings.
scripts/build.sh build-release -DMARJORAMFOLD_WARNINGS_AS_ERRORS=ON -DMARJORAMFOLD_SERVICE_ONLY=ON -DCMAKE_BUILD_TYPE=Release
# Tests listed in KNOWN-RED.txt fail because of a known open fault; they run separately, and their results are printed.
exclude=$(grep -s '^test: ' KNOWN-RED.txt | sed 's/^test: //; s/[][().*+?^$|\\]/\\&/g' | paste -sd'|' - || true)
if [ -n "$exclude" ]; then
    echo "known red tests, see KNOWN-RED.txt:"
    ctest --test-dir build --timeout 300 -R "^($exclude)\$" || true
    ctest --test-dir build --output-on-failure --timeout 300 -j "$(nproc)" -E "^($exclude)\$"
else
    ctest --test-dir build --output-on-failure --timeout 300 -j "$(nproc)"
fi
