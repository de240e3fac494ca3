#!/usr/bin/env bash
# Demonstrates the system end to end with real processes on loopback: for each deployment a platform, 8 entries in 4
# availability zones, workers and executors; rules are published, gang jobs and requests run, an availability zone is taken out
# and brought back. Prints a report with figures and exits 1 when a check failed.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-deps.sh
scripts/build.sh build
bin=$PWD/build/bin
work=$(mktemp -d)
failures=0
fleet=""
cleanup() {
    [ -n "$fleet" ] && scripts/fleet.sh stop "$fleet" || true
    rm -rf "$work"
}
trap cleanup EXIT

ctl() {
    "$bin/marjoramctl" "--entry=$entries" "$@"
}

# Records a failed check with a message; the demonstration continues up to the report.
record_failure() {
    echo "  FAILED: $*"
    failures=$((failures + 1))
}

submit() {
    ctl job submit "examples/$1/jobs/$2.toml" >>"$fleet/jobs"
}

# Publishes the demonstration's rules with one availability zone in a given state.
publish_zone_state() {
    sed "/^availability_zone\.$2 /s/state = \"[a-z]*\"/state = \"$3\"/" "examples/$1/demo-rules.toml" >"$fleet/rules.toml"
    local version
    version=$(ctl --json rules show | jq .version)
    ctl rules publish "--base_version=$version" --author=demo "$fleet/rules.toml"
}

print_jobs() {
    printf '  %-14s %-10s %4s %-9s %7s %8s  %s\n' job team gang state wait_s total_s placement
    curl -s "http://$(cat "$fleet/platform")/v1/instances" | jq '[.instances[] | select(.role == "worker") | {key: .id, value: .rack}] | from_entries' >"$fleet/racks.json"
    while read -r id; do
        ctl --json job show "$id" | jq -r --slurpfile racks "$fleet/racks.json" '[.job.name, .job.team, .job.gang_size, .state,
            (((.started_ms // .submitted_ms) - .submitted_ms) / 1000), (((.ended_ms // .submitted_ms) - .submitted_ms) / 1000),
            ((.last_workers // .workers) | map($racks[0][.] + "/" + .) | join(" "))] | @tsv' |
            while IFS=$'\t' read -r name team gang state wait total placement; do
                printf '  %-14s %-10s %4s %-9s %7.1f %8.1f  %s\n' "$name" "$team" "$gang" "$state" "$wait" "$total" "$placement"
            done
    done <"$fleet/jobs"
}

run_deployment() {
    local deployment=$1 zone started load_pid
    zone=$(head -n 1 "examples/$deployment/availability-zones")
    fleet=$work/$deployment
    echo "== $deployment: starting 8 entries, 12 workers and 4 executors in 4 availability zones"
    scripts/fleet.sh start "$fleet" "$deployment" 2 3 1
    entries=$(paste -sd, "$fleet/entries")
    echo "-- publishing examples/$deployment/demo-rules.toml"
    ctl rules publish --base_version=0 --author=demo "examples/$deployment/demo-rules.toml"
    for _ in $(seq 100); do
        [ "$(ctl --json status | jq '[.availability_zones[] | select(.owner != "")] | length')" = 4 ] && break
        sleep 0.2
    done

    echo "-- 20 s of requests in the background, and jobs"
    "$bin/marjoramload" --entries "$entries" --executors "$(awk '{print $2}' "$fleet/executors" | paste -sd,)" \
        --mix examples/load-mix.toml --rate 200 --seconds 20 --json >"$fleet/load.json" 2>"$fleet/load.log" &
    load_pid=$!
    submit "$deployment" large-gang
    submit "$deployment" half-workers
    submit "$deployment" half-workers
    submit "$deployment" pair
    submit "$deployment" pair
    for _ in 1 2 3 4; do submit "$deployment" small; done
    sleep 2
    submit "$deployment" urgent

    echo "-- taking availability zone $zone out"
    started=$SECONDS
    publish_zone_state "$deployment" "$zone" out
    sleep 6
    ctl --json status | jq -r --arg zone "$zone" '.availability_zones[] | select(.availability_zone == $zone) | "   \(.availability_zone) is \(.state), owner \(.owner)"'
    echo "-- taking availability zone $zone in again after $((SECONDS - started)) s"
    publish_zone_state "$deployment" "$zone" in

    while read -r id; do
        ctl job wait --wait_s=60 "$id" >/dev/null || record_failure "job $id did not finish"
    done <"$fleet/jobs"
    wait "$load_pid" || record_failure "the load tool failed: $(tail -n 3 "$fleet/load.log")"

    echo "-- jobs"
    print_jobs
    [ "$(while read -r id; do ctl --json job show "$id" | jq -r .state; done <"$fleet/jobs" | grep -vc finished)" = 0 ] || record_failure "not every job finished"
    echo "-- requests"
    jq -r '"  sent \(.entry.sent), answered \(.entry.answered), not run \(.entry.not_run), maybe ran \(.entry.maybe_ran), p50 \(.entry.latency_ms.p50) ms, p99 \(.entry.latency_ms.p99) ms
  lost \(.account.lost), doubled \(.account.doubled), crossed \(.account.crossed), amplification \(.account.amplification)"' "$fleet/load.json"
    [ "$(jq '[.account.lost, .account.doubled, .account.crossed, .entry.lost, .entry.crossed] | map(. // 0) | add' "$fleet/load.json")" = 0 ] || record_failure "answers lost, doubled or crossed"
    scripts/fleet.sh stop "$fleet"
    fleet=""
}

for deployment in agenda-carpatica tritura-certo; do
    run_deployment "$deployment"
done
echo "== failed checks: $failures"
[ "$failures" = 0 ]
