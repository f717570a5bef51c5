#!/usr/bin/env bash
# Guards against example declarations that no fleet can be started with: each
# example gets its VMs, five of them with a replica, and is applied; a key of
# its first account is served by an engine.
. "$(dirname "$0")/common.sh"

# example NAME MODEL: starts the VMs that the file declares and applies it.
example() {
    local file=docs/operations/examples/$1.yaml model=$2 n voters rows
    rows=$(sed -n 's/.*{id: \([^,]*\), region: \([^,]*\), data_center: \([^}]*\)}.*/\1 \2 \3/p' "$file")
    mapfile -t fleet_vms < <(cut -d' ' -f1 <<<"$rows")
    mapfile -t fleet_regions < <(cut -d' ' -f2 <<<"$rows")
    mapfile -t fleet_data_centers < <(cut -d' ' -f3 <<<"$rows")
    fleet_voters=("${fleet_vms[@]:0:5}")
    voters=$(IFS=,; echo "${fleet_voters[*]}")
    for ((n = 1; n <= ${#fleet_vms[@]}; n++)); do
        local extra=()
        [ "$n" -gt 5 ] || extra=(--data_dir="$fleet_dir/${fleet_vms[n - 1]}" --initial_voters="$voters")
        "$fleet_daemon" --vm="${fleet_vms[n - 1]}" \
            --region="${fleet_regions[n - 1]}" \
            --data_center="${fleet_data_centers[n - 1]}" \
            --http_address="$(fleet_http "$n")" \
            --admin_address="$(fleet_admin "$n")" \
            --peer_address="$(fleet_peer "$n")" \
            --seeds="$(fleet_peer 1),$(fleet_peer 3)" \
            --fleet_key_file="$fleet_dir/fleet-key" \
            --key_hash_secret_file="$fleet_dir/key-hash-secret" \
            --operator_token_file="$fleet_dir/operator-token" \
            "${extra[@]}" >>"$fleet_dir/${fleet_vms[n - 1]}.log" 2>&1 &
        fleet_pids[${fleet_vms[n - 1]}]=$!
    done
    fleet_admin_list=$(fleet_admin 1),$(fleet_admin 3)
    check_soon 40 "$1 is applied" fleet_ctl apply -f "$file"
    in_force() { fleet_ctl status | grep -q '^in force everywhere: [1-9]' && ! fleet_ctl status | grep -q '^lacks'; }
    check_soon 20 "$1 is in force at all ${#fleet_vms[@]} VMs" in_force
    local account
    account=$(fleet_ctl get account | head -n 1 | grep -o '"name":"[^"]*"' | cut -d'"' -f4)
    fleet_key=$(fleet_ctl key create "$account" trial-1 | grep -o 'hyssop_[0-9a-f]*')
    fleet_upstream "$1-engine" "$fleet_engine" 1 --models="$model"
    check_soon 30 "$1 serves $model for account $account" has_status 1 "$model" 200
}
example valea quote-writer
fleet_stop
fleet_init
example ferreira hallmark-checker
