# Functions that start a fleet on loopback addresses as the users' platform
# does: roles, flags and environment of deploy/system.toml, and a settings file
# for each process. Sourced after common.sh, whose fleet_dir, fleet_net,
# fleet_pids and fleet_wait it uses; fleet_stop ends every process.
#
# VMs are called control-rREGION-N and entry-rREGION-N. The data centre of
# region r1 is r1-a, and so on.

platform_upstream_program=$fleet_build/Tests/StandIns/platform_upstream
platform_control=()
platform_entry=()
declare -A platform_ips=() platform_regions=() platform_upstream_address=()

# platform_role ROLE FIELD: of deploy/system.toml.
platform_role() {
    awk -v role="[roles.$1]" -v field="$2" '
        /^\[/ { inside = ($0 == role) }
        inside && $1 == field { sub(/^[^=]*= */, ""); print }' deploy/system.toml
}

# platform_init CONTROLS ENTRIES: how many of each, one number to a region.
platform_init() {
    local region n=10 i kind counts
    for kind in control entry; do
        counts=$1
        [ "$kind" = control ] || counts=$2
        region=0
        for count in $counts; do
            region=$((region + 1))
            for ((i = 1; i <= count; i++)); do
                n=$((n + 1))
                local name=$kind-r$region-$i
                if [ "$kind" = control ]; then
                    platform_control+=("$name")
                else
                    platform_entry+=("$name")
                fi
                platform_ips[$name]=$fleet_net.$n
                platform_regions[$name]=r$region
            done
        done
    done
    platform_region_count=$region
}

platform_address() { echo "${platform_ips[$1]}:$2"; }
platform_entry_address() { platform_address "$1" 8221; }
platform_control_address() { platform_address "$1" 8229; }

# platform_settings NAME FIRST-START: the settings file of a VM.
platform_settings() {
    local name=$1 ip=${platform_ips[$1]} region=${platform_regions[$1]} i
    echo "node-name: \"$name\""
    if [[ $name == control-* ]]; then
        echo "machine-class: core"
        echo "role: control"
        echo "serves: [control, directory]"
        echo "listen: {control: \"$ip:8229\", directory: \"$ip:8230\"}"
        echo "data-dir: \"$fleet_dir/$name\""
        echo "counts-as-fault: true"
    else
        echo "machine-class: front"
        echo "role: entry"
        echo "serves: [front]"
        echo "listen: {front: \"$ip:8221\", readiness: \"$ip:8224\"}"
        echo "data-dir: null"
        echo "counts-as-fault: false"
    fi
    echo "zones:"
    for ((i = 1; i <= platform_region_count; i++)); do
        echo "  r$i-a: r$i"
    done
    cat <<YAML
ip: "$ip"
zone: "$region-a"
region: "$region"
port-range: [7600, 7615]
bootstrap: $2
limits: {cpu-share: 1.0, cores: 1, memory-mb: 260, max-fds: 4100,
  link-mbps: 1000.0, disk-mb: 128}
discovery: registry
entry: directory
heartbeat-ms: 500
fault-tolerance: {machines: 1, zones: 0, regions: 0}
bounds: {seed-lag-s: 3, contact-ms: 5000, ack-ms: 6000, catch-up-s: 4,
  drain-ms: 3000, grace-s: 8, retry-budget-ratio: 0.2, budget-window-s: 10,
  budget-slack: 52, quota-window-s: 8, quota-slack: 140000, ttl_max_s: 5}
config-mode: highest
seeds:
YAML
    for name in "${platform_control[@]:0:3}"; do
        echo "  - \"$(platform_control_address "$name")\""
    done
}

# platform_start NAME FIRST-START
platform_start() {
    local role=${1%%-*} flags key
    flags=$(platform_role "$role" run | tr -d '"' | cut -d' ' -f2-)
    key=$(platform_role "$role" env |
        sed 's/.*HYSSOPLOFT_FLEET_KEY = "\([^"]*\)".*/\1/')
    platform_settings "$1" "$2" >"$fleet_dir/$1.yaml"
    mkdir -p "$fleet_dir/$1"
    # Word splitting of the flags is wanted.
    # shellcheck disable=SC2086
    env -i PATH="$PATH" HOME="$fleet_dir" LANG=C.UTF-8 \
        HYSSOPLOFT_SETTINGS="$fleet_dir/$1.yaml" HYSSOPLOFT_FLEET_KEY="$key" \
        "$fleet_daemon" $flags >>"$fleet_dir/$1.log" 2>&1 &
    fleet_pids[$1]=$!
}

platform_start_all() {
    local name
    for name in "${platform_control[@]}" "${platform_entry[@]}"; do
        platform_start "$name" true
    done
}

# platform_upstream ID ROLE REGION [FLAG...]: starts a stand-in upstream that
# sends its heartbeats to all control VMs in turn.
platform_upstream() {
    local id=$1 role=$2 region=$3 control=() name
    shift 3
    for name in "${platform_control[@]}"; do
        control+=("$(platform_control_address "$name")")
    done
    platform_upstreams=$((${platform_upstreams:-0} + 1))
    platform_upstream_address[$id]=$fleet_net.$((100 + platform_upstreams)):9000
    "$platform_upstream_program" --id="$id" --role="$role" \
        --address="${platform_upstream_address[$id]}" \
        --data_center="$region-a" \
        --control="$(IFS=,; echo "${control[*]}")" "$@" \
        >>"$fleet_dir/$id.log" 2>&1 &
    fleet_pids[$id]=$!
}

# platform_put FILE: sends a configuration once to each control VM until one
# acknowledges it.
platform_put() {
    local name
    for name in "${platform_control[@]}"; do
        curl -sf -m 3 -o /dev/null -H 'Content-Type: application/json' \
            --data-binary "@$1" \
            "http://$(platform_control_address "$name")/hyssoploft/Config.Put" &&
            return 0
    done
    return 1
}

# platform_ready NAME: whether an entry VM says that it takes requests.
platform_ready() {
    curl -sf -m 2 -o /dev/null \
        "http://$(platform_address "$1" 8224)/hyssoploft/readyz"
}

# platform_desk_manifest VERSION: one open route to the role "desk", whose
# requests run at most once.
platform_desk_manifest() {
    cat <<JSON
{"version":$1,"routes":[{"name":"orders","host":"desk.example",
  "path-prefix":"/orders/","kind":"unsafe","timeout-ms":5000,
  "target-latency-ms":2000,"priority":1,"service":"desk","max-attempts":1,
  "public":true,"home-regions":[]}],
 "services":[{"name":"desk","health-path":"/healthz","max-conns":96}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,
  "header-timeout-ms":3000,"idle-timeout-ms":15000}}
JSON
}

# platform_order ENTRY ID: the status of one order.
platform_order() {
    curl -s -m 8 -o /dev/null -w '%{http_code}' -X POST \
        -H 'Host: desk.example' -H "Hyssoploft-Request-Id: $2" \
        -H 'Hyssoploft-Deadline-Ms: 5000' \
        "http://$(platform_entry_address "$1")/orders/1"
}

platform_is_served() { [ "$(platform_order "$1" "warm-$RANDOM")" = 200 ]; }

# platform_orders NAME COUNT: as many at each entry VM; adds their statuses to
# the file "statuses".
platform_orders() {
    local entry n
    for entry in "${platform_entry[@]}"; do
        for ((n = 1; n <= $2; n++)); do
            platform_order "$entry" "$1-$entry-$n" >>"$fleet_dir/statuses"
            echo >>"$fleet_dir/statuses"
        done
    done
}
platform_all_answered() { ! grep -qv '^200$' "$fleet_dir/statuses"; }

# platform_is_used ID: orders reach the upstream.
platform_is_used() {
    local before
    before=$(platform_calls "$1")
    platform_orders "used-$1-$RANDOM" 4
    [ "$(platform_calls "$1")" -gt "$before" ]
}

# platform_acknowledges COMMAND...: whether the status that it prints is 200.
platform_acknowledges() { [ "$("$@")" = 200 ]; }

# platform_heartbeat VM ID STATE SEQUENCE BORN: what the upstream ID says of
# itself to a control VM; the status.
platform_heartbeat() {
    local body
    body="{\"service\":\"desk\",\"address\":\"${platform_upstream_address[$2]}\",\"zone\":\"r1-a\",
 \"version\":\"v1\",\"slots\":16,\"state\":\"$3\",\"cold-left-ms\":0,\"seq\":$4,
 \"born\":$5}"
    curl -s -m 1 -o /dev/null -w '%{http_code}' --data-binary "$body" \
        "http://$(platform_control_address "$1")/hyssoploft/Instances.Heartbeat/$2"
}

# platform_deregister VM ID: without a body, as the platform's upstreams send
# it; the status.
platform_deregister() {
    curl -s -m 1 -o /dev/null -w '%{http_code}' -X POST \
        "http://$(platform_control_address "$1")/hyssoploft/Instances.Deregister/$2"
}

unix_ms() { date +%s%3N; }

# platform_calls ID: how many calls reached an upstream.
platform_calls() { grep -c '^call ' "$fleet_dir/$1.log"; }
