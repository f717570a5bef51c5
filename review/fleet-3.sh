# Sourced by the scripts of this review: a small deployment of the project's
# programs, started with the commands of the deploy file on loopback addresses.
# Every process is in pids, and stop_all ends exactly those.
set -uo pipefail
case_dir=$(cd "$(dirname "$0")" && pwd)
cd "$(dirname "${BASH_SOURCE[0]}")/.."
record=$case_dir/record.txt
trouble=${TROUBLE:-1}
tools=target/review-3
dir=$(mktemp -d)
# Each run gets a loopback network of its own, so that its ports are free.
net=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
# What the users' platform runs and sets for each role.
read -ra run_words < <(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml | head -1)
fleet_key=$(sed -n 's/.*HYSSOPLOFT_FLEET_KEY = "\([^"]*\)".*/\1/p' \
    deploy/system.toml | head -1)
declare -A pids=() zone_of=() region_of=()
cores=() fronts=()
memory_mb=${memory_mb:-260}
: >"$record"

note() { echo "$(date +%s%3N) $*" >>"$record"; }

stop_all() {
    local name
    for name in "${!pids[@]}"; do
        kill -CONT "${pids[$name]}" 2>/dev/null
        kill -KILL "${pids[$name]}" 2>/dev/null
        wait "${pids[$name]}" 2>/dev/null
    done
    pids=()
    if [ -n "${KEEP_LOGS:-}" ]; then echo "logs: $dir"; else rm -rf "$dir"; fi
}
trap stop_all EXIT
trap 'exit 2' INT TERM

cant_run() { note "the case can't run: $*"; echo "can't run: $*"; exit 2; }
for it in "${run_words[0]}" "$tools/worker" "$tools/client"; do
    [ -x "$it" ] || cant_run "$it is not built"
done

# add_core NAME N ZONE REGION; add_front: the same.
add_core() { cores+=("$1"); declare -g "ip_$1=$net.$2"; zone_of[$1]=$3; region_of[$1]=$4; }
add_front() { fronts+=("$1"); declare -g "ip_$1=$net.$2"; zone_of[$1]=$3; region_of[$1]=$4; }
ip_of() { local name=ip_$1; echo "${!name}"; }
control_of() { echo "$(ip_of "$1"):8229"; }
front_of() { echo "$(ip_of "$1"):8221"; }

settings() { # NAME BOOTSTRAP
    local ip class seeds="" it
    ip=$(ip_of "$1")
    for it in "${cores[@]:0:3}"; do seeds+="${seeds:+, }\"$(control_of "$it")\""; done
    if [[ " ${cores[*]} " == *" $1 "* ]]; then
        class=core
        printf 'serves: [control, directory]\ncounts-as-fault: true\n'
        printf 'listen: {control: "%s:8229", directory: "%s:8220"}\n' "$ip" "$ip"
        printf 'data-dir: "%s/data-%s"\n' "$dir" "$1"
    else
        class=front
        printf 'serves: [front]\ncounts-as-fault: false\n'
        printf 'listen: {front: "%s:8221", readiness: "%s:8224"}\n' "$ip" "$ip"
        printf 'data-dir: null\n'
    fi
    cat <<YAML
node-name: "$class-$1"
role: "my-$class"
machine-class: "$class"
ip: "$ip"
zone: "${zone_of[$1]}"
region: "${region_of[$1]}"
zones: {z1: "r1", z2: "r2", z3: "r3"}
port-range: [7600, 7615]
seeds: [$seeds]
bootstrap: $2
limits: {cpu-share: 0.6, cores: 1, memory-mb: $memory_mb, max-fds: 4100,
  link-mbps: 1000.0, disk-mb: 128}
discovery: "registry"
entry: "directory"
heartbeat-ms: 1200
contracts: [base, drain, config, cost, retry, recover, engine, stream, places,
  tenants, quota]
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
YAML
}

start_node() { # NAME [BOOTSTRAP]
    settings "$1" "${2:-false}" >"$dir/$1.yaml"
    mkdir -p "$dir/data-$1"
    (
        # The platform's limit on descriptors, for this process only.
        ulimit -n 4100 || exit 2
        exec env -i PATH="$PATH" HOME="$dir" LANG=C.UTF-8 \
            HYSSOPLOFT_SETTINGS="$dir/$1.yaml" \
            HYSSOPLOFT_FLEET_KEY="$fleet_key" "${run_words[@]}"
    ) >>"$dir/$1.log" 2>&1 &
    pids[$1]=$!
}

start_nodes() {
    local it
    for it in "${cores[@]}" "${fronts[@]}"; do start_node "$it" true; done
}

# start_worker ID N SERVICE ZONE [OPTION...]; its commands go to worker_ID.
start_worker() {
    local id=$1 n=$2 service=$3 zone=$4 it list=""
    shift 4
    for it in "${cores[@]}"; do list+="${list:+,}$(control_of "$it")"; done
    mkfifo "$dir/worker_$id"
    "$tools/worker" --id "$id" --address "$net.$n:9000" --service "$service" \
        --zone "$zone" --record "$record" --control "${control_list:-$list}" \
        "$@" <"$dir/worker_$id" >>"$dir/worker_$id.log" 2>&1 &
    pids[worker_$id]=$!
    local fd
    exec {fd}>"$dir/worker_$id"
    declare -g "fd_$id=$fd"
}
tell_worker() { local name=fd_$1; shift; echo "$*" >&"${!name}"; }

# send METHOD NODE PATH [FILE]: to a node's control address; status and body.
send() { "$tools/client" send "$1" "$(control_of "$2")" "${@:3}"; }

# put FILE: sends a configuration until a node acknowledges it.
put() {
    local n out
    for ((n = 0; n < 60; n++)); do
        out=$(send POST "${cores[n % ${#cores[@]}]}" /hyssoploft/Config.Put "$1" | head -1)
        [ "$out" = 200 ] && { note "operator: $(basename "$1") acknowledged by ${cores[n % ${#cores[@]}]}"; return 0; }
        sleep 0.25
    done
    return 1
}

# calls NODE OPTION...: requests through a front node; counts by status.
calls() { "$tools/client" calls --front "$(front_of "$1")" --record "$record" "${@:2}"; }

wait_served() { # NODE OPTION...
    local n
    for ((n = 0; n < 60; n++)); do
        [ "$(calls "$@" --prefix warm | tr -d ' ')" = 200:1 ] && return 0
        sleep 0.25
    done
    return 1
}
