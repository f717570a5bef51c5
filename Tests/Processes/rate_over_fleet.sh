#!/usr/bin/env bash
# Guards against an account that gets more than its rate and burst over all
# VMs together, also while the leader of the leases is killed.
. "$(dirname "$0")/common.sh"
start
cat >"$fleet_dir/rate.yaml" <<'YAML'
- {kind: account, name: small}
- {kind: rate, name: small, tokens_per_second: 60, burst_tokens: 600, floor_fraction: 0.5}
YAML
fleet_ctl apply -f "$fleet_dir/rate.yaml" >/dev/null
fleet_key=$(fleet_ctl key create small small-1 | grep -o 'hyssop_[0-9a-f]*')
known() { [ "$(status_of "$1" quote-writer)" != 401 ]; }
check_soon 20 "the new key is in force" known 9

# Each granted call uses the prompt (9 tokens by the gateway's estimate) and
# 8 generated tokens.
tokens_per_call=17
granted=0
started=$(date +%s%N)
killed=
for ((round = 0; round < 40; round++)); do
    pids=()
    for n in 1 2 3 4 5 6 7 8 9; do
        [ "v$n" = "$killed" ] && continue
        status_of "$n" quote-writer >"$fleet_dir/code-$n" &
        pids+=($!)
    done
    wait "${pids[@]}"
    for n in 1 2 3 4 5 6 7 8 9; do
        [ "$(cat "$fleet_dir/code-$n" 2>/dev/null)" = 200 ] && granted=$((granted + 1))
        : >"$fleet_dir/code-$n"
    done
    if [ "$round" = 15 ]; then
        killed=$(leader_vm)
        fleet_kill KILL "$killed"
    fi
    sleep 0.2
done
elapsed_ms=$((($(date +%s%N) - started) / 1000000))
# The burst counts from the start: credit can't exceed it.
allowed=$((600 + 60 * elapsed_ms / 1000))
used=$((granted * tokens_per_call))
echo "used $used tokens of $allowed allowed in $elapsed_ms ms"
check "no more than rate and burst over all VMs" [ "$used" -le "$allowed" ]
check "a good part of the rate was usable" [ "$used" -ge $((60 * elapsed_ms / 4000)) ]
