#!/usr/bin/env bash
# Measures the request path on loopback: executors, one entry with two traffic threads, and open-loop load to the entry and, for
# comparison, directly to the executors. Usage: scripts/bench-requests.sh [BUILD_DIR] [RATE] [SECONDS] [extra marjoramload arguments]
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${1:-build}/bin
rate=${2:-20000}
seconds=${3:-10}
shift 3 2>/dev/null || shift $#
work=$(mktemp -d)
pids=()
cleanup() {
    [ "${#pids[@]}" -eq 0 ] || kill "${pids[@]}" 2>/dev/null || true
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap cleanup EXIT
wait_for() {
    for _ in $(seq 100); do [ -s "$1" ] && return 0; sleep 0.05; done
    echo "bench-requests.sh: no port written to $1 within 5 s" >&2
    exit 1
}

executors=()
for i in $(seq "${EXECUTORS:-4}"); do
    "$bin/standin-executor" --id "executor-$i" --connections 400 --port_file "$work/executor-$i" >/dev/null &
    pids+=($!)
    wait_for "$work/executor-$i"
    executors+=("127.0.0.1:$(cat "$work/executor-$i")")
done
list=$(IFS=,; echo "${executors[*]}")
"$bin/requestentry" --targets "$list" --threads "${THREADS:-2}" --port_file "$work/entry" >/dev/null &
entry=$!
pids+=("$entry")
wait_for "$work/entry"
echo "load average before: $(cut -d' ' -f1-3 /proc/loadavg)"
before=$(awk '{print $14 + $15}' "/proc/$entry/stat")
"$bin/marjoramload" --entries "127.0.0.1:$(cat "$work/entry")" --executors "$list" --bare "$list" --rate "$rate" --seconds "$seconds" "$@" || true
after=$(awk '{print $14 + $15}' "/proc/$entry/stat")
echo "entry: $(((after - before) * 10)) ms of processor time, $(awk '/VmHWM/ {print $2}' "/proc/$entry/status") kB peak memory"
echo "load average after: $(cut -d' ' -f1-3 /proc/loadavg)"
