# Functions for the scripts of review/6 to review/10: a small deployment of the
# roles of deploy/system.toml on loopback addresses, with the settings of the
# site valea-ding (three regions, one zone each, five control VMs, four entry
# VMs), and its workers, clients and operator. Sourced with `here` set to the
# folder of the case, which gets record.txt.
#
# review_end STATUS ends exactly the processes that were started here.

cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
daemon=target/Services/hyssoploft/hyssoploft
worker_program=Build/review-2/worker
call_program=Build/review-2/call
record=$here/record.txt
declare -A pids=() ips=() regions=()
control_vms=(core-1 core-2 core-3 core-4 core-5)
entry_vms=(front-1 front-2 front-3 front-4)
vm_regions=(dobrogea dobrogea transilvania transilvania muntenia
    dobrogea dobrogea transilvania muntenia)
# Control VMs that settings name as seeds.
seed_vms=(core-1 core-3 core-5)
declare -A zones=([dobrogea]=constanta-a [transilvania]=cluj-a
    [muntenia]=bucuresti-a)
workers=0
requests=0

for program in "$daemon" "$worker_program" "$call_program"; do
    [ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
work=$(mktemp -d) || exit 2
: >"$record"
# A network of its own for each run, so that its ports are free.
net=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))

note() { echo "$(date +%s.%3N) $*" >>"$record"; }

review_end() {
    local name
    for name in "${!pids[@]}"; do
        kill -CONT "${pids[$name]}" 2>/dev/null
        kill -KILL "${pids[$name]}" 2>/dev/null
        wait "${pids[$name]}" 2>/dev/null
    done
    pids=()
    sed 's/^/worker: /' "$work"/worker-*.out >>"$record" 2>/dev/null
    rm -rf "$work"
    trap - EXIT
    exit "$1"
}
trap 'review_end 2' EXIT
trap 'exit 2' INT TERM

# of_role ROLE FIELD: from deploy/system.toml.
of_role() {
    awk -v role="[roles.$1]" -v field="$2" '
        /^\[/ { inside = ($0 == role) }
        inside && $1 == field { sub(/^[^=]*= */, ""); print }' \
        deploy/system.toml
}

settings_of() { # VM BOOTSTRAP
    local name=$1 ip=${ips[$1]} region=${regions[$1]} it
    echo "node-name: \"$name\""
    if [[ $name == core-* ]]; then
        cat <<YAML
role: "control"
machine-class: "core"
serves: ["control", "directory"]
listen: {control: "$ip:8229", directory: "$ip:8230"}
data-dir: "$work/$name"
counts-as-fault: true
limits: {cpu-share: 0.6, cores: 1, memory-mb: 256, max-fds: 4096,
  link-mbps: 1000.0, disk-mb: 128}
YAML
    else
        cat <<YAML
role: "entry"
machine-class: "front"
serves: ["front"]
listen: {front: "$ip:8221", readiness: "$ip:8224"}
data-dir: null
counts-as-fault: false
limits: {cpu-share: 0.25, cores: 1, memory-mb: 260, max-fds: 4100,
  link-mbps: 1000.0, disk-mb: 0}
YAML
    fi
    cat <<YAML
ip: "$ip"
zone: "${zones[$region]}"
region: "$region"
zones: {constanta-a: "dobrogea", cluj-a: "transilvania",
  bucuresti-a: "muntenia"}
port-range: [7600, 7615]
bootstrap: $2
discovery: "registry"
entry: "directory"
heartbeat-ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine",
  "stream", "places", "tenants", "quota"]
fault-tolerance: {machines: 2, zones: 1, regions: 1}
bounds: {seed-lag-s: 3, addr-reuse-s: 2, contact-ms: 5000, ack-ms: 6000,
  catch-up-s: 4, drain-ms: 3000, grace-s: 8, loss-slack-ms: 200,
  config-apply-ms: 3000, rollback-slack-ms: 250, outer-ms: 8000,
  revoke-strict: false, revoke-ms: 5000, retry-budget-ratio: 0.2,
  budget-window-s: 10, budget-slack: 52, quota-window-s: 8,
  quota-overage: 0.1, quota-slack: 140000, cold-overage: 1.5, cold-slack: 3,
  evacuate-ms: 5000, recovery-s: 12, pass-ms: 600, reuse-window-s: 10,
  ttl_max_s: 5}
config-mode: "highest"
seeds:
YAML
    for it in "${seed_vms[@]}"; do
        echo "  - \"${ips[$it]}:8229\""
    done
}

start_vm() { # VM BOOTSTRAP
    local role=control run key
    [[ $1 == front-* ]] && role=entry
    run=$(of_role "$role" run | tr -d '"')
    key=$(of_role "$role" env |
        sed 's/.*HYSSOPLOFT_FLEET_KEY = "\([^"]*\)".*/\1/')
    settings_of "$1" "$2" >"$work/$1.yaml"
    mkdir -p "$work/$1"
    # The words of the command are split at spaces, as the platform does.
    # shellcheck disable=SC2086
    env -i PATH="$PATH" HOME="$work" LANG=C.UTF-8 \
        HYSSOPLOFT_SETTINGS="$work/$1.yaml" HYSSOPLOFT_FLEET_KEY="$key" \
        $run >>"$work/$1.log" 2>&1 &
    pids[$1]=$!
}

start_fleet() {
    local n=0 name
    for name in "${control_vms[@]}" "${entry_vms[@]}"; do
        ips[$name]=$net.$((10 + n))
        regions[$name]=${vm_regions[n]}
        n=$((n + 1))
    done
    for name in "${control_vms[@]}" "${entry_vms[@]}"; do
        start_vm "$name" true
    done
}

start_worker() { # ID SERVICE REGION
    local control=() name
    for name in "${control_vms[@]}"; do
        control+=("${ips[$name]}:8229")
    done
    workers=$((workers + 1))
    "$worker_program" "$1" "$2" "$net.$((100 + workers)):9000" \
        "${zones[$3]}" "${control[@]}" >"$work/worker-$1.out" 2>&1 &
    pids[$1]=$!
}

# route NAME KIND MAX-ATTEMPTS SERVICE TIMEOUT-MS
route() {
    echo "{\"name\":\"$1\",\"host\":\"desk.example\",\"path-prefix\":\"/$1/\"," \
        "\"kind\":\"$2\",\"resumable\":false,\"timeout-ms\":$5," \
        "\"target-latency-ms\":600,\"gap-target-ms\":600,\"priority\":1," \
        "\"service\":\"$4\",\"max-attempts\":$3,\"public\":false," \
        "\"sticky\":false,\"home-regions\":[]}"
}

# configure ROUTES: sends a configuration with the services of the site until a
# control VM acknowledges it, and waits until all entry VMs are ready.
configure() {
    local name end=$((SECONDS + 30))
    cat >"$work/config.json" <<JSON
{"version":1,"routes":[$1],"services":[
{"name":"quote-brain","health-path":"/healthz","max-conns":360,
"protocol":"h1","tls":false,"cold-start-s":3.0,"cold-per-s":4.1,"engine":
{"slots":64,"kv-capacity":587510,"kv-token-bytes":327680,
"link-mbps":270000.0,"moves":true,"backups":true,"stride":8,"most":12,
"pin-ms":4000.0,"hold-ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}},
{"name":"bench-desk","health-path":"/healthz","max-conns":96,
"protocol":"h1","tls":false,"cold-start-s":0.0,"cold-per-s":0.0}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,
"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"shop","api-keys":["i9n73hh2b9wu3fexd9dn"],"priority":1,
"unit":"tokens","plain-tokens":200,"rate-per-s":440737,"burst":440737,
"home-regions":[]}]}
JSON
    until [ "$("$call_program" "${ips[core-1]}:8229" POST \
        /hyssoploft/Config.Put -t 3 -H 'Content-Type: application/json' \
        -f "$work/config.json")" = 200 ]; do
        [ $SECONDS -lt $end ] || { note "no configuration"; review_end 2; }
        sleep 0.2
    done
    for name in "${entry_vms[@]}"; do
        until [ "$("$call_program" "${ips[$name]}:8224" GET \
            /hyssoploft/readyz -t 2)" = 200 ]; do
            [ $SECONDS -lt $end ] || { note "not ready"; review_end 2; }
            sleep 0.1
        done
    done
    # Heartbeats and an exchange of state.
    sleep 3
    note "configured"
}

# new_id: an identifier that no other request has, to `id`.
new_id() {
    requests=$((requests + 1))
    id=$(printf 'r%04d%08x' $requests $((RANDOM * 32768 + RANDOM)))
}

# request VM METHOD PATH [ARGUMENT...]: a client's request, with more arguments
# for the stand-in; sets `id` and `status` (000: no whole answer).
request() {
    local vm=$1 method=$2 path=$3
    shift 3
    new_id
    status=$("$call_program" "${ips[$vm]}:8221" "$method" "$path" -t 12 \
        -H 'Host: desk.example' -H "Hyssoploft-Request-Id: $id" \
        -H 'Hyssoploft-Deadline-Ms: 10000' \
        -H 'Hyssoploft-Key: i9n73hh2b9wu3fexd9dn' "$@")
    note "client $vm $method $path id=$id status=$status"
}

# raw VM SECONDS: sends standard input as it is on a connection of its own and
# prints what comes back until the end or for SECONDS.
raw() {
    local fd
    exec {fd}<>"/dev/tcp/${ips[$1]}/8221" || return 1
    cat >&"$fd"
    timeout "$2" cat <&"$fd"
    exec {fd}>&-
}

# ran ID: whether a worker has run the request.
ran() {
    grep -qh " id=$1 " "$work"/worker-*.out
}
