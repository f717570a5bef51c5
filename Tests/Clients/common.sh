# Shared by the tests of this folder: one control VM and one entry VM, started
# as the users' platform does, with small limits, and an upstream. Every
# process is in the shell's list of jobs, and stop_all ends exactly those.
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
build=${HYSSOPLOFT_BUILD:-Build/release}
daemon=$build/Services/hyssoploft/hyssoploft
tools=$build/Tests/Clients
key=$(sed -n 's/.*HYSSOPLOFT_FLEET_KEY = "\([^"]*\)".*/\1/p' \
    deploy/system.toml | head -1)
# The bounds of these tests, and what the VMs are told.
memory_mb=64
max_fds=400
dir=$(mktemp -d)
net=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
control_ip=$net.11
entry_ip=$net.21
upstream=$net.100:9000
declare -A pids=()
failures=0
requests=0

stop_all() {
    local pid
    for pid in $(jobs -p); do
        kill -KILL "$pid" 2>/dev/null
    done
    wait 2>/dev/null
    [ -n "${KEEP_LOGS:-}" ] && echo "logs: $dir" || rm -rf "$dir"
}
finish() {
    [ "$failures" -eq 0 ] || tail -q -n 5 "$dir"/*.log
    stop_all
    [ "$failures" -eq 0 ] || exit 1
}
trap finish EXIT
trap 'exit 2' INT TERM

# check TEXT COMMAND...: counts a failure unless the command succeeds.
check() {
    local text=$1
    shift
    if "$@"; then
        echo "ok: $text"
    else
        echo "FAILED: $text"
        failures=$((failures + 1))
    fi
}

settings() { # NAME
    local ip=$control_ip
    [ "$1" = entry ] && ip=$entry_ip
    if [ "$1" = control ]; then
        printf 'listen: {control: "%s:8229", directory: "%s:8230"}\n' "$ip" "$ip"
        printf 'data-dir: "%s/control-data"\n' "$dir"
    else
        printf 'listen: {front: "%s:8221", readiness: "%s:8224"}\n' "$ip" "$ip"
        printf 'data-dir: null\n'
    fi
    cat <<YAML
node-name: "$1"
ip: "$ip"
zone: "r1-a"
region: "r1"
zones: {r1-a: "r1"}
port-range: [7600, 7615]
bootstrap: true
limits: {cpu-share: 0.6, cores: 1, memory-mb: $memory_mb,
  max-fds: $max_fds, link-mbps: 1000.0, disk-mb: 128}
heartbeat-ms: 1200
fault-tolerance: {machines: 0, zones: 0, regions: 0}
bounds: {retry-budget-ratio: 0.2, budget-window-s: 10, budget-slack: 52,
  quota-slack: 140000, grace-s: 8}
seeds: ["$control_ip:8229"]
YAML
}

start_vm() { # NAME
    settings "$1" >"$dir/$1.yaml"
    mkdir -p "$dir/$1-data"
    (
        # The platform's limit on descriptors, for this process only.
        ulimit -n "$max_fds" || exit 2
        exec env -i PATH="$PATH" HOME="$dir" LANG=C.UTF-8 \
            HYSSOPLOFT_SETTINGS="$dir/$1.yaml" HYSSOPLOFT_FLEET_KEY="$key" \
            "$daemon" --metrics_port=9464
    ) >"$dir/$1.log" 2>&1 &
    pids[$1]=$!
}

# config_document VERSION: a configuration with one route.
config_document() {
    cat <<JSON
{"version":$1,
 "routes":[{"name":"orders","host":"desk.example","path-prefix":"/orders/",
  "kind":"unsafe","timeout-ms":4000,"target-latency-ms":2000,"priority":2,
  "service":"desk","max-attempts":1,"public":true,"home-regions":[]}],
 "services":[{"name":"desk","health-path":"/healthz","max-conns":360,
  "protocol":"h1","tls":false,"cold-start-s":0.0,"cold-per-s":0.0}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,
  "header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[]}
JSON
}

# put_config VERSION: sends a configuration to the control VM.
put_config() {
    config_document "$1" >"$dir/config.json"
    local n
    for ((n = 0; n < 20; n++)); do
        curl -sf -m 2 -o /dev/null --data-binary "@$dir/config.json" \
            "http://$control_ip:8229/hyssoploft/Config.Put" && return 0
        sleep 0.3
    done
    return 1
}

# order CURL-OPTION...: prints the status of one request through a route.
order() {
    requests=$((requests + 1))
    curl -s -m 2 -o /dev/null -w '%{http_code}' -H 'Host: desk.example' \
        -H "Hyssoploft-Request-Id: o-$requests-$RANDOM" -H 'Expect:' \
        -H 'Hyssoploft-Deadline-Ms: 4000' "$@" \
        "http://$entry_ip:8221/orders/one"
}

# An ordinary caller sends again after a refusal; four tries.
served() {
    local n status
    for ((n = 0; n < 4; n++)); do
        status=$(order -d small)
        [ "$status" = 200 ] && return 0
        sleep 0.25
    done
    echo "last status: $status"
    return 1
}

start() {
    local n
    start_vm control
    start_vm entry
    "$tools/desk_upstream" --address="$upstream" \
        --control="$control_ip:8229" >"$dir/upstream.log" 2>&1 &
    put_config 1 || { echo "FAILED: no configuration"; exit 2; }
    for ((n = 0; n < 40; n++)); do
        [ "$(order -d small)" = 200 ] && return 0
        sleep 0.25
    done
    echo "FAILED: the fleet did not start"
    failures=1
    exit 1
}

lives() { kill -0 "${pids[$1]}" 2>/dev/null; }
field() { sed -n "s/^$2:[[:space:]]*\([0-9]*\) kB/\1/p" "/proc/${pids[$1]}/status"; }
within_memory() {
    local kb
    kb=$(field "$1" VmHWM)
    [ -n "$kb" ] && [ $((kb * 1024)) -lt $((memory_mb * 1000000)) ]
}
descriptors() { find "/proc/${pids[$1]}/fd" -mindepth 1 2>/dev/null | wc -l; }
within_descriptors() {
    local n
    n=$(descriptors "$1")
    [ "$n" -gt 0 ] && [ "$n" -lt "$max_fds" ]
}

check_vm() { # NAME WHEN
    check "$2: the process of $1 lives" lives "$1"
    check "$2: $1 within its memory (most $(field "$1" VmHWM) kB)" within_memory "$1"
    check "$2: $1 within its descriptors ($(descriptors "$1"))" within_descriptors "$1"
}

# play CROWD VM IP PORT PATH: checks with the crowd connected and after it.
play() {
    local crowd=$1 vm=$2 path=$5 pid n
    "$tools/client_crowd" --crowd="$crowd" --ip="$3" --port="$4" \
        --path="$path" >"$dir/crowd" 2>&1 &
    pid=$!
    for ((n = 0; n < 100; n++)); do
        grep -q "in place" "$dir/crowd" && break
        sleep 0.1
    done
    cat "$dir/crowd"
    # The VM reads what lies in the system's buffers.
    sleep 1
    check_vm "$vm" "$crowd at $path"
    check "$crowd at $path: an ordinary request beside it" served
    { kill -KILL "$pid"; wait "$pid"; } 2>/dev/null
    check "$crowd at $path: an ordinary request after it" served
    check_vm "$vm" "after $crowd at $path"
}
