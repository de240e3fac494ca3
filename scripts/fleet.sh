#!/usr/bin/env bash
# Runs a small fleet of real processes on loopback: the platform, entries, workers and executors of one deployment.
#
#   scripts/fleet.sh start DIR DEPLOYMENT [entries workers executors]   per availability zone; default 2 2 1
#   scripts/fleet.sh stop DIR
#
# With MARJORAMFOLD_PROXIED=1 a fault proxy connects the entries with each other and with the platform, by the routes
# peer-I-J (UDP and TCP from entry I to entry J) and platform-I. DIR/proxy holds the address of its control interface.
#
# DIR receives settings, logs, NAME.pid for each process, and `entries` with one HOST:PORT per line. A process that ends is
# restarted unless DIR/down-NAME exists, so that a test can replace a process by ending it.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
bin=${MARJORAMFOLD_BIN:-$root/build/bin}

# Restarts a process whenever it ends, until the fleet stops. While DIR/down-NAME exists, the process is not restarted.
supervise() {
    local dir=$1 name=$2 pid
    shift 2
    (
        trap '' HUP
        while [ ! -e "$dir/stopping" ]; do
            if [ -e "$dir/down-$name" ]; then
                sleep 0.05
                continue
            fi
            "$@" >>"$dir/logs/$name.log" 2>&1 &
            pid=$!
            echo "$pid" >"$dir/$name.pid"
            wait "$pid" 2>/dev/null || true
            rm -f "$dir/$name.pid"
            sleep 0.1
        done
    ) </dev/null >/dev/null 2>&1 &
    echo "$!" >>"$dir/supervisors"
}

# Prints free ports of an address.
free_ports() {
    "$bin/standin-freeports" --address "$1" --count "$2"
}

# Reserves a loopback subnet that no other fleet on this machine uses, and prints it.
take_subnet() {
    local dir=$1 a b
    for _ in $(seq 200); do
        a=$((RANDOM % 200 + 20)) b=$((RANDOM % 250 + 2))
        if mkdir "${TMPDIR:-/tmp}/marjoramfold-subnet-$a-$b" 2>/dev/null; then
            echo "${TMPDIR:-/tmp}/marjoramfold-subnet-$a-$b" >"$dir/subnet-lock"
            echo "127.$a.$b"
            return
        fi
    done
    echo "fleet.sh: found no free loopback subnet in 200 attempts" >&2
    return 1
}

# Prints the address of a route of the fault proxy, or the direct address when there is no proxy.
route_of() {
    local address
    address=$(awk -v name="$2" '$1 == name { print $2 }' "$1/routes" 2>/dev/null || true)
    echo "${address:-$3}"
}

# Starts a fault proxy with a route for each pair of entries, and for each entry to the platform.
start_proxy() {
    local dir=$1 subnet=$2 platform=$3 i j ports next=1 routes=()
    local count=${#entry_ips[@]}
    mapfile -t ports < <(free_ports "$subnet.5" $((1 + count * count)))
    for i in "${!entry_ips[@]}"; do
        for j in "${!entry_ips[@]}"; do
            if [ "$i" = "$j" ]; then
                routes+=("platform-$i=tcp:${ports[$next]}:${platform%:*}:${platform#*:}")
                echo "platform-$i $subnet.5:${ports[$next]}" >>"$dir/routes"
            else
                routes+=("peer-$i-$j=both:${ports[$next]}:${entry_ips[$j]}:${peer_ports[$j]}")
                echo "peer-$i-$j $subnet.5:${ports[$next]}" >>"$dir/routes"
            fi
            next=$((next + 1))
        done
    done
    echo "$subnet.5:${ports[0]}" >"$dir/proxy"
    supervise "$dir" proxy "$bin/standin-faultproxy" --address "$subnet.5" --port "${ports[0]}" --routes "$(IFS=,; echo "${routes[*]}")"
    wait_for_http "$subnet.5:${ports[0]}" /v1/routes
}

write_settings() {
    local dir=$1 index=$2 zone=$3 platform=$4 i
    {
        echo "[instance]"
        echo "id = \"entry-$index\""
        echo "availability_zone = \"$zone\""
        echo "span_file = \"$dir/spans-entry-$index.jsonl\""
        echo "[listen]"
        echo "address = \"${entry_ips[$index]}\""
        echo "http_port = ${http_ports[$index]}"
        echo "peer_port = ${peer_ports[$index]}"
        echo "[platform]"
        echo "log = \"$(route_of "$dir" "platform-$index" "$platform")\""
        echo "instance_list = \"$(route_of "$dir" "platform-$index" "$platform")\""
        echo "[peers]"
        echo "signing_key = 1"
        for i in "${!entry_ips[@]}"; do
            [ "$i" = "$index" ] && continue
            echo "[[peer]]"
            echo "id = \"entry-$i\""
            echo "availability_zone = \"${entry_zones[$i]}\""
            echo "address = \"$(route_of "$dir" "peer-$index-$i" "${entry_ips[$i]}:${peer_ports[$i]}")\""
        done
        echo "[[key]]"
        echo "id = 1"
        echo "secret = \"000102030405060708090a0b0c0d0e0f\""
    } >"$dir/entry-$index.toml"
}

start() {
    local dir=$1 deployment=$2 entries=${3:-2} workers=${4:-2} executors=${5:-1}
    mkdir -p "$dir/logs"
    dir=$(cd "$dir" && pwd)
    local zones subnet platform_port platform index=0 zone i ports
    mapfile -t zones <"$root/examples/$deployment/availability-zones"
    subnet=$(take_subnet "$dir")

    # Addresses are assigned first, because the settings of each entry list all other entries.
    declare -ga entry_ips=() entry_zones=() http_ports=() peer_ports=()
    for zone in "${zones[@]}"; do
        for i in $(seq "$entries"); do
            entry_ips[$index]="$subnet.$((10 + index))"
            entry_zones[$index]=$zone
            mapfile -t ports < <(free_ports "${entry_ips[$index]}" 2)
            http_ports[$index]=${ports[0]}
            peer_ports[$index]=${ports[1]}
            index=$((index + 1))
        done
    done
    platform_port=$(free_ports "$subnet.2" 1)
    platform="$subnet.2:$platform_port"
    echo "$platform" >"$dir/platform"

    # shellcheck disable=SC2086
    supervise "$dir" platform "$bin/standin-platform" --address "$subnet.2" --port "$platform_port" ${MARJORAMFOLD_PLATFORM_FLAGS:-}
    wait_for_http "$platform" /v1/instances
    [ -z "${MARJORAMFOLD_PROXIED:-}" ] || start_proxy "$dir" "$subnet" "$platform"
    local number=0 port
    for zone in "${zones[@]}"; do
        for i in $(seq "$workers"); do
            number=$((number + 1))
            port=$(free_ports "$subnet.3" 1)
            supervise "$dir" "worker-$number" "$bin/standin-worker" --address "$subnet.3" --port "$port" --platform "$platform" \
                --id "worker-$number" --availability_zone "$zone" --rack "$zone-rack-$(((i - 1) / 6 + 1))"
            echo "worker-$number $subnet.3:$port $zone" >>"$dir/workers"
        done
    done
    number=0
    for zone in "${zones[@]}"; do
        for i in $(seq "$executors"); do
            number=$((number + 1))
            port=$(free_ports "$subnet.4" 1)
            supervise "$dir" "executor-$number" "$bin/standin-executor" --address "$subnet.4" --port "$port" --platform "$platform" \
                --id "executor-$number" --zone "$zone"
            echo "executor-$number $subnet.4:$port $zone" >>"$dir/executors"
        done
    done
    for index in "${!entry_ips[@]}"; do
        write_settings "$dir" "$index" "${entry_zones[$index]}" "$platform"
        echo "${entry_ips[$index]}:${http_ports[$index]}" >>"$dir/entries"
        echo "entry-$index ${entry_ips[$index]}:${http_ports[$index]} ${entry_zones[$index]}" >>"$dir/entry-list"
        supervise "$dir" "entry-$index" "$bin/marjoramfold-entry" --settings "$dir/entry-$index.toml"
    done
    for index in "${!entry_ips[@]}"; do
        wait_for_http "${entry_ips[$index]}:${http_ports[$index]}" /healthz
    done
}

# Waits until an address answers HTTP; fails when it does not within 300 attempts.
wait_for_http() {
    local address=$1 path=$2
    for _ in $(seq 300); do
        curl -s -o /dev/null --max-time 1 "http://$address$path" && return 0
        sleep 0.1
    done
    echo "fleet.sh: no HTTP answer from $address$path, the fleet did not start" >&2
    return 1
}

stop() {
    local dir=$1 pid file
    dir=$(cd "$dir" && pwd)
    touch "$dir/stopping"
    for _ in $(seq 50); do
        for file in "$dir"/*.pid; do
            [ -e "$file" ] || continue
            pid=$(cat "$file" 2>/dev/null || true)
            [ -n "$pid" ] && { kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; } || true
        done
        sleep 0.1
        ls "$dir"/*.pid >/dev/null 2>&1 || break
    done
    while read -r pid; do
        kill "$pid" 2>/dev/null || true
    done <"$dir/supervisors"
    rmdir "$(cat "$dir/subnet-lock")" 2>/dev/null || true
}

case "${1:-}" in
    start) start "${@:2}" ;;
    stop) stop "$2" ;;
    *) sed -n '2,12p' "$0" >&2; exit 2 ;;
esac
