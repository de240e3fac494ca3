#!/usr/bin/env bash
# Runs all scenarios with all policies and prints one table per scenario. Usage: scripts/run-experiments.sh [SEED...]
# Environment: BUILD_DIR (build), SCENARIOS, POLICIES, JOBS (3 runs at a time), OUT (file of JSON lines, rewritten).
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${BUILD_DIR:-build}
scenarios=${SCENARIOS:-agenda-carpatica tritura-certo design-size}
policies=${POLICIES:-marjoramfold no-backfill no-compaction declared-estimates first-fit first-fit-skip partition}
out=${OUT:-$build_dir/experiments.jsonl}
[ "$#" -gt 0 ] || set -- 1 2 3
program=$build_dir/bin/marjoramfold-experiment

# Each run appends one line in one write, so that lines of concurrent runs do not mix.
: >"$out"
export program out
for scenario in $scenarios; do
    for policy in $policies; do
        for seed in "$@"; do
            echo "$scenario $policy $seed"
        done
    done
done | xargs -P "${JOBS:-3}" -L 1 bash -c 'line=$("$program" --scenario "$0" --policy "$1" --seed "$2" --json) && echo "$line" >>"$out"'
"$program" --summarize "$out"
