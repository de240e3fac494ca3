#!/usr/bin/env bash
# Measures the control-plane cost of an entry instance at several fleet sizes, with real processes on loopback, and prints one
# table row for each size. Usage: scripts/measure-slopes.sh [WORKERS_PER_ZONE...]; default 1 3 6 9
#
# Each worker runs 8 tasks of one accelerator. Processor time, memory and control traffic are each the maximum over the entries.
# Processor time (in percent of a core) and traffic are measured over 20 s, resident memory at their end. Control traffic is HTTP
# and datagrams of an entry's control thread, without the headers of TCP, UDP and IP.
set -euo pipefail
cd "$(dirname "$0")/.."
sizes=("$@")
[ "${#sizes[@]}" -gt 0 ] || sizes=(1 3 6 9)
seconds=20
bin=$PWD/build/bin
work=$(mktemp -d)
fleet=""
cleanup() {
    [ -z "$fleet" ] || scripts/fleet.sh stop "$fleet" || true
    rm -rf "$work"
}
trap cleanup EXIT

cpu_ticks() {
    awk '{ print $14 + $15 }' "/proc/$1/stat"
}

metric() {
    curl -s "http://$1/metrics" | awk -v name="$2" '$1 == name { print $2 }'
}

control_bytes() {
    local sum=0 value name
    for name in marjoramfold_peer_sent_bytes marjoramfold_peer_received_bytes marjoramfold_control_http_sent_bytes marjoramfold_control_http_received_bytes; do
        value=$(metric "$1" "$name")
        sum=$(awk -v a="$sum" -v b="${value:-0}" 'BEGIN { printf "%d", a + b }')
    done
    echo "$sum"
}

log_end() {
    curl -s "http://$(cat "$fleet/platform")/v1/streams/control/records?from=999999999&max=1" | jq .end
}

measure() {
    local per_zone=$1 deployment=agenda-carpatica zone name address i pid
    fleet=$work/$per_zone
    scripts/fleet.sh start "$fleet" "$deployment" 2 "$per_zone" 1
    sed -E "s/workers = [0-9]+/workers = $per_zone/; /^(guarantee|quota)/d" "examples/$deployment/demo-rules.toml" >"$fleet/rules.toml"
    local entry
    entry=$(head -n 1 "$fleet/entries")
    "$bin/marjoramctl" "--entry=$entry" --author=measurement rules publish --base_version=0 "$fleet/rules.toml" >/dev/null
    sleep 5
    # One gang of 8 tasks fills one worker.
    while read -r zone; do
        for i in $(seq "$per_zone"); do
            printf 'name = "load"\nteam = "planners"\ngang_size = 8\ndeclared_run_time_s = 3600\navailability_zones = ["%s"]\npayload = %s\n[task]\naccelerators = 1\ncores = 8\nmemory_mb = 1000\n' \
                "$zone" "'{\"run_ms\": 3600000}'" >"$fleet/job.toml"
            "$bin/marjoramctl" "--entry=$entry" job submit "$fleet/job.toml" >/dev/null
        done
    done <"examples/$deployment/availability-zones"
    sleep 10
    local running begin_log begin_bytes=() begin_ticks=() addresses=() pids=()
    running=$("$bin/marjoramctl" "--entry=$entry" --json job list | jq '[.jobs[] | select(.state == "running") | .job.gang_size] | add')
    while read -r name address zone; do
        pid=$(cat "$fleet/$name.pid")
        pids+=("$pid")
        addresses+=("$address")
        begin_ticks+=("$(cpu_ticks "$pid")")
        begin_bytes+=("$(control_bytes "$address")")
    done <"$fleet/entry-list"
    begin_log=$(log_end)
    sleep "$seconds"
    local max_cpu=0 max_bytes=0 max_rss=0 value
    for i in "${!pids[@]}"; do
        value=$(($(cpu_ticks "${pids[$i]}") - begin_ticks[i]))
        [ "$value" -le "$max_cpu" ] || max_cpu=$value
        value=$(($(control_bytes "${addresses[$i]}") - begin_bytes[i]))
        [ "$value" -le "$max_bytes" ] || max_bytes=$value
        value=$(awk '/^VmRSS/ { print $2 }' "/proc/${pids[$i]}/status")
        [ "$value" -le "$max_rss" ] || max_rss=$value
    done
    awk -v w="$((per_zone * 4))" -v t="$running" -v c="$max_cpu" -v b="$max_bytes" -v r="$max_rss" -v l="$(($(log_end) - begin_log))" -v s="$seconds" \
        'BEGIN { printf "| %d | %d | %.2f | %.1f | %.2f | %.2f |\n", w, t, c / s, r / 1024, b / s / 1000, l / s }'
    scripts/fleet.sh stop "$fleet"
    fleet=""
}

echo "| workers | tasks running | processor time, % of a core | resident memory, MB | control traffic, KB/s | log records/s |"
echo "|---|---|---|---|---|---|"
for size in "${sizes[@]}"; do
    measure "$size"
done
