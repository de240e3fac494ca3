#!/usr/bin/env bash
# Runs integration scenarios against a fleet of real processes of their own. Usage: scripts/run-integration.sh TAG
# Extra flags of the platform stand-in come from MARJORAMFOLD_PLATFORM_FLAGS.
set -euo pipefail
cd "$(dirname "$0")/.."
tag=$1
bin=${MARJORAMFOLD_BIN:-$PWD/build/bin}
dir=$(mktemp -d)
finish() {
    local code=$?
    scripts/fleet.sh stop "$dir" || true
    if [ "$code" -ne 0 ]; then
        echo "--- last log lines of the entries"
        grep -hvE 'member_changed' "$dir"/logs/entry-*.log | sort -k2 | tail -n 60 || true
    fi
    rm -rf "$dir"
}
trap finish EXIT
export MARJORAMFOLD_PROXIED=1
scripts/fleet.sh start "$dir" agenda-carpatica 2 3 1
MARJORAMFOLD_FLEET=$dir "$bin/../tests/integration_tests" "$tag"
