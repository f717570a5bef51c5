# Functions that start and stop the daemon on loopback addresses as the users'
# platform does: roles, commands and environment of deploy/system.toml, and a
# settings file with the fields of their page. Sourced by the scripts; needs
# $case (the case's folder). Every process is in fleet_pids, and fleet_stop
# ends exactly those.

fleet_top=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
fleet_tools=$fleet_top/target/review
fleet_daemon=target/Services/hyssoploft/hyssoploft
fleet_key=$(sed -n 's/.*HYSSOPLOFT_FLEET_KEY = "\([^"]*\)".*/\1/p' \
    "$fleet_top/deploy/system.toml" | head -1)
declare -A fleet_pids=() fleet_ips=() fleet_regions=()
fleet_cores=()
fleet_fronts=()
fleet_max_fds=4100
fleet_memory_mb=260

# Exit 2: the case could not run.
fleet_cannot() {
    echo "can't run: $*" | tee -a "$case/record.txt" >&2
    exit 2
}

# fleet_init CORES FRONTS: one region to each number of the two lists.
fleet_init() {
    [ -x "$fleet_top/$fleet_daemon" ] || fleet_cannot "no $fleet_daemon"
    [ -x "$fleet_tools/call" ] || fleet_cannot "run review/build.sh first"
    fleet_dir=$(mktemp -d)
    fleet_net=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
    local region=0 n=10 i
    for count in $1; do
        region=$((region + 1))
        for ((i = 1; i <= count; i++)); do
            n=$((n + 1))
            fleet_cores+=("core-r$region-$i")
            fleet_ips[core-r$region-$i]=$fleet_net.$n
            fleet_regions[core-r$region-$i]=r$region
        done
    done
    region=0
    for count in $2; do
        region=$((region + 1))
        for ((i = 1; i <= count; i++)); do
            n=$((n + 1))
            fleet_fronts+=("front-r$region-$i")
            fleet_ips[front-r$region-$i]=$fleet_net.$n
            fleet_regions[front-r$region-$i]=r$region
        done
    done
    # The first machine of each region, as many as there are up to three.
    fleet_seeds=()
    for name in "${fleet_cores[@]}"; do
        [[ $name == *-1 ]] && fleet_seeds+=("${fleet_ips[$name]}:8229")
    done
    trap fleet_stop EXIT
    trap 'exit 2' INT TERM
}

fleet_settings() { # NAME BOOTSTRAP
    local name=$1 ip=${fleet_ips[$1]} region=${fleet_regions[$1]} seed
    local class=${1%%-*}
    echo "node-name: \"$name\""
    echo "machine-class: \"$class\""
    if [ "$class" = core ]; then
        printf 'role: "control"\nserves: ["control", "directory"]\n'
        printf 'listen:\n  control: "%s:8229"\n  directory: "%s:8230"\n' \
            "$ip" "$ip"
        printf 'data-dir: "%s/%s"\ncounts-as-fault: true\n' \
            "$fleet_dir" "$name"
    else
        printf 'role: "entry"\nserves: ["front"]\n'
        printf 'listen:\n  front: "%s:8221"\n  readiness: "%s:8224"\n' \
            "$ip" "$ip"
        printf 'data-dir: null\ncounts-as-fault: false\n'
    fi
    cat <<EOF
ip: "$ip"
zone: "$region-a"
region: "$region"
zones: {r1-a: "r1", r2-a: "r2", r3-a: "r3"}
port-range: [7600, 7615]
bootstrap: $2
limits: {cpu-share: 0.6, cores: 1, memory-mb: $fleet_memory_mb,
  max-fds: $fleet_max_fds, link-mbps: 1000.0, disk-mb: 128}
discovery: "registry"
entry: "directory"
heartbeat-ms: 1200
contracts: [base, drain, config, cost, retry, recover, engine, stream, places,
  tenants, quota]
fault-tolerance: {machines: 2, zones: 1, regions: 1}
bounds: {seed-lag-s: 3, addr-reuse-s: 2, contact-ms: 5000, ack-ms: 6000,
  catch-up-s: 4, drain-ms: 3000, grace-s: 8, loss-slack-ms: 200,
  config-apply-ms: 3000, rollback-slack-ms: 250, outer-ms: 8000,
  retry-budget-ratio: 0.2, budget-window-s: 10, budget-slack: 52,
  quota-window-s: 8, quota-overage: 0.1, quota-slack: 140000,
  evacuate-ms: 5000, recovery-s: 12, ttl_max_s: 5}
config-mode: "highest"
seeds:
EOF
    for seed in "${fleet_seeds[@]}"; do echo "  - \"$seed\""; done
}

# fleet_start NAME BOOTSTRAP
fleet_start() {
    fleet_settings "$1" "$2" >"$fleet_dir/$1.yaml"
    mkdir -p "$fleet_dir/$1"
    (
        cd "$fleet_top" || exit 2
        # The platform's limit on descriptors, for this process only.
        ulimit -n "$fleet_max_fds" || exit 2
        exec env -i PATH="$PATH" HOME="$fleet_dir" LANG=C.UTF-8 \
            HYSSOPLOFT_SETTINGS="$fleet_dir/$1.yaml" \
            HYSSOPLOFT_FLEET_KEY="$fleet_key" \
            "$fleet_daemon" --metrics_port=9464
    ) >>"$fleet_dir/$1.log" 2>&1 &
    fleet_pids[$1]=$!
}

fleet_start_all() {
    local name
    for name in "${fleet_cores[@]}" "${fleet_fronts[@]}"; do
        fleet_start "$name" true
    done
    sleep 3
}

fleet_stop() {
    local pid
    # Children of this script only.
    for pid in $(jobs -p); do
        kill -CONT "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null
    done
    wait 2>/dev/null
    [ -n "${KEEP_LOGS:-}" ] || rm -rf "$fleet_dir"
}

# fleet_put FILE: sends a configuration until a machine acknowledges it.
fleet_put() {
    local try name
    for ((try = 0; try < 20; try++)); do
        name=${fleet_cores[$((try % ${#fleet_cores[@]}))]}
        "$fleet_tools/call" "${fleet_ips[$name]}:8229" POST \
            /hyssoploft/Config.Put "$1" >/dev/null && return 0
        sleep 0.2
    done
    fleet_cannot "no acknowledgement of the first configuration"
}

# fleet_memory NAME FIELD: VmRSS or VmHWM of a machine's process, in MB.
fleet_memory() {
    sed -n "s/^$2:[[:space:]]*\([0-9]*\) kB/\1/p" \
        "/proc/${fleet_pids[$1]}/status" 2>/dev/null |
        awk '{ print int($1 / 1024) }'
}

say() { echo "$(date +%H:%M:%S.%3N) $*" | tee -a "$case/record.txt"; }
