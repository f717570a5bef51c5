# Functions that start and stop a fleet on loopback addresses. Sourced by
# Meta/quickstart.sh and by the tests under Tests/Processes.
#
# Nine VMs in three regions with two data centres each; five of them hold a
# replica of the log. Every process is recorded in fleet_pids, and
# fleet_stop ends exactly those.

fleet_build=${HYSSOPLOFT_BUILD:-Build/release}
fleet_daemon=$fleet_build/Services/hyssoploft/hyssoploft
fleet_ctl_program=$fleet_build/Utilities/hyssopctl/hyssopctl
fleet_engine=$fleet_build/Tests/StandIns/model_engine
fleet_booking=$fleet_build/Tests/StandIns/booking_service
fleet_vms=(v1 v2 v3 v4 v5 v6 v7 v8 v9)
fleet_regions=(east east east west west west north north north)
fleet_data_centers=(east-a east-b east-b west-a west-a west-b north-a north-b north-b)
fleet_voters=(v1 v2 v4 v5 v7)
declare -A fleet_pids=()

# fleet_init: makes the working directory with secrets and picks addresses.
fleet_init() {
    fleet_dir=$(mktemp -d)
    # Each fleet gets a loopback network of its own, so that several can run
    # side by side.
    fleet_net=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
    (
        umask 077
        for name in fleet-key key-hash-secret operator-token; do
            head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$fleet_dir/$name"
        done
    )
}

fleet_http() { echo "$fleet_net.$1:7100"; }
fleet_admin() { echo "$fleet_net.$1:7200"; }
fleet_peer() { echo "$fleet_net.$1:7300"; }

# fleet_vm N [FLAG...]: starts VM number N (1 to 9).
fleet_vm() {
    local n=$1 vm=v$1 extra=()
    shift
    if [[ " ${fleet_voters[*]} " == *" $vm "* ]]; then
        extra=(--data_dir="$fleet_dir/$vm" --initial_voters="$(IFS=,; echo "${fleet_voters[*]}")")
    fi
    "$fleet_daemon" --vm="$vm" \
        --region="${fleet_regions[n - 1]}" \
        --data_center="${fleet_data_centers[n - 1]}" \
        --http_address="$(fleet_http "$n")" \
        --admin_address="$(fleet_admin "$n")" \
        --peer_address="$(fleet_peer "$n")" \
        --seeds="$(fleet_peer 1),$(fleet_peer 4),$(fleet_peer 7)" \
        --fleet_key_file="$fleet_dir/fleet-key" \
        --key_hash_secret_file="$fleet_dir/key-hash-secret" \
        --operator_token_file="$fleet_dir/operator-token" \
        --trace_file="$fleet_dir/$vm.spans" \
        "${extra[@]}" "$@" >>"$fleet_dir/$vm.log" 2>&1 &
    fleet_pids[$vm]=$!
}

# fleet_upstream NAME PROGRAM N [FLAG...]: starts a stand-in in the region of
# VM number N, at an address of its own.
fleet_upstream() {
    local name=$1 program=$2 n=$3
    shift 3
    fleet_upstream_count=$((${fleet_upstream_count:-0} + 1))
    local address=$fleet_net.$((100 + fleet_upstream_count)):7400
    "$program" --id="$name" --address="$address" \
        --vms="$(fleet_http "$n"),$(fleet_http $(((n % 9) + 1)))" \
        --region="${fleet_regions[n - 1]}" \
        --data_center="${fleet_data_centers[n - 1]}" \
        "$@" >>"$fleet_dir/$name.log" 2>&1 &
    fleet_pids[$name]=$!
    declare -g "fleet_address_${name//-/_}=$address"
}

# fleet_ctl ARGUMENT...: runs hyssopctl against all admin addresses.
fleet_ctl() {
    "$fleet_ctl_program" --admin="${fleet_admin_list:-$(fleet_admin 1),$(fleet_admin 4),$(fleet_admin 7)}" \
        --token_file="$fleet_dir/operator-token" \
        --key_hash_secret_file="$fleet_dir/key-hash-secret" "$@"
}

# fleet_wait SECONDS COMMAND...: repeats the command until it succeeds.
fleet_wait() {
    local end=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ $SECONDS -lt $end ] || return 1
        sleep 0.1
    done
}

fleet_kill() {
    kill -"$1" "${fleet_pids[$2]}" 2>/dev/null
    # Reaped here, so that the shell does not report it later.
    [ "$1" != KILL ] || wait "${fleet_pids[$2]}" 2>/dev/null || true
}

# fleet_reap NAME: waits for the process and sets fleet_exit_code.
fleet_reap() {
    fleet_exit_code=0
    wait "${fleet_pids[$1]}" 2>/dev/null || fleet_exit_code=$?
    unset "fleet_pids[$1]"
}

# fleet_stop: ends every process of this fleet and removes its directory.
fleet_stop() {
    local name
    for name in "${!fleet_pids[@]}"; do
        kill -CONT "${fleet_pids[$name]}" 2>/dev/null || true
        kill -KILL "${fleet_pids[$name]}" 2>/dev/null || true
        wait "${fleet_pids[$name]}" 2>/dev/null || true
    done
    fleet_pids=()
    [ -n "${HYSSOPLOFT_KEEP:-}" ] || rm -rf "$fleet_dir"
}

# fleet_declare: a configuration for the nine VMs.
fleet_declare() {
    {
        echo "- kind: fleet"
        echo "  floor_slots: 9"
        echo "  vms:"
        local n
        for n in 1 2 3 4 5 6 7 8 9; do
            echo "    - {id: v$n, region: ${fleet_regions[n - 1]}, data_center: ${fleet_data_centers[n - 1]}}"
        done
        cat <<'YAML'
- {kind: upstream_role, name: engine}
- {kind: upstream_role, name: booking}
- {kind: residency, name: stay-east, regions: [east]}
- {kind: account, name: shop, weight: 2}
- {kind: account, name: tablets}
- {kind: rate, name: shop, tokens_per_second: 90000, burst_tokens: 900000, floor_fraction: 0.5}
- {kind: rate, name: tablets, tokens_per_second: 9000, burst_tokens: 90000, floor_fraction: 0.5}
- {kind: route, name: quotes, type: inference, model: quote-writer, upstream_role: engine, deadline: 30s}
- {kind: route, name: labels, type: inference, model: ding-labeler, upstream_role: engine, residency: stay-east, deadline: 10s}
- {kind: route, name: slots, type: service, path_prefix: /bookings, upstream_role: booking, repeat: not_repeatable, deadline: 10s, record_lifetime: 1d}
- {kind: route, name: hours, type: service, path_prefix: /opening-hours, upstream_role: booking, open: true, deadline: 5s}
YAML
    } >"$fleet_dir/fleet.yaml"
}

# fleet_start: nine VMs, one engine a region, one booking service, and the
# configuration in force everywhere. Sets fleet_key to a key of "shop".
fleet_start() {
    local n
    for n in 1 2 3 4 5 6 7 8 9; do
        fleet_vm "$n" "$@"
    done
    fleet_upstream engine-east "$fleet_engine" 2 --models=quote-writer,ding-labeler
    fleet_upstream engine-west "$fleet_engine" 5 --models=quote-writer,ding-labeler
    fleet_upstream engine-north "$fleet_engine" 8 --models=quote-writer,ding-labeler
    fleet_upstream booking-east "$fleet_booking" 3
    fleet_declare
    fleet_wait 30 fleet_ctl apply -f "$fleet_dir/fleet.yaml" || return 1
    fleet_key=$(fleet_ctl key create shop shop-1 | grep -o 'hyssop_[0-9a-f]*') || return 1
    for n in 1 2 3 4 5 6 7 8 9; do
        fleet_wait 20 fleet_serves "$n" || return 1
        fleet_wait 20 curl -sf -m 5 "http://$(fleet_http "$n")/opening-hours" || return 1
    done
}

# fleet_chat N MODEL [CURL FLAG...]: a completion of 8 tokens through VM N.
fleet_chat() {
    local n=$1 model=$2
    shift 2
    curl -s -m 20 "http://$(fleet_http "$n")/v1/chat/completions" \
        -H "Authorization: Bearer $fleet_key" -H 'Content-Type: application/json' \
        -d "{\"model\":\"$model\",\"stream\":${fleet_streamed:-false},\"max_tokens\":${fleet_tokens:-8},\"messages\":[{\"role\":\"user\",\"content\":\"cracked nose, 14 cm\"}]}" "$@"
}

# fleet_book N KEY [CURL FLAG...]: a booking through VM N.
fleet_book() {
    local n=$1 key=$2
    shift 2
    curl -s -m 20 "http://$(fleet_http "$n")/bookings" \
        -H "Authorization: Bearer $fleet_key" -H "Idempotency-Key: $key" \
        -H 'Content-Type: application/json' -d '{"slot":"resin-2"}' "$@"
}

# fleet_serves N: VM number N accepts the key and finds an upstream.
fleet_serves() {
    curl -sf -m 5 -o /dev/null "http://$(fleet_http "$1")/v1/chat/completions" \
        -H "Authorization: Bearer $fleet_key" -H 'Content-Type: application/json' \
        -d '{"model":"quote-writer","max_tokens":4,"messages":[{"role":"user","content":"ready?"}]}'
}
