#!/usr/bin/env bash
# Runs the soak test with injected faults for a range of seeds. Usage: scripts/soak.sh FIRST_SEED COUNT [JOBS] [BUILD_DIR]
# Prints each seed whose run fails; its logs stay in the folder that the test output names. Settings in the environment:
#   SOAK_FAULTS=all | worker-restarts | worker-faults   faults to inject; "worker-restarts" only restarts workers
#   SOAK_INSTANCES, SOAK_WORKERS, SOAK_CALLERS          size of the run
#   SOAK_LEASE_MS                                       longest lease that workers accept
#   SOAK_LATE_ACROSS_RESTARTS=1                         workers also execute late commands that were sent before their restart
#   SOAK_UNNOTICED_KIND_CHANGES=1                       workers that restart with less capacity accept commands before their new entry
#   SOAK_WITHOUT_DEMAND=1                               each third job has many tasks without demand
#   SOAK_PROGRAM                                        instance program of another build
set -euo pipefail
cd "$(dirname "$0")/.."
first=$1 count=$2 jobs=${3:-3} build=${4:-build}
export build
run_seed() {
    SOAK_SEED=$1 "$build/tests/soak_tests" "one seed by hand" >"/tmp/soak-seed-$1.txt" 2>&1 || { echo "seed $1 failed, see /tmp/soak-seed-$1.txt"; return 1; }
    rm -f "/tmp/soak-seed-$1.txt"
}
export -f run_seed
seq "$first" $((first + count - 1)) | xargs -P "$jobs" -I{} bash -c 'run_seed {}' && echo "soak: $count seeds from $first passed"
