#!/usr/bin/env bash
# Measures what control costs each VM of a real fleet on loopback addresses:
#
#     Tests/Scale/fleet_scale.sh VMS ACCOUNTS UPSTREAMS [SECONDS]
#
# VMS (at most 120) run as one process each, five of them with a replica of the
# log; ACCOUNTS have a rate each; UPSTREAMS are announced by one more process.
# Prints one row of a Markdown table. Run from the root after a release build.
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
. Meta/local-fleet.sh
vms=${1:?} accounts=${2:?} upstreams=${3:?} window=${4:-30}
[ "$vms" -le 120 ] || exit 2
fleet_init
trap fleet_stop EXIT
# The groups of VMs of a data centre and the voters, as fleet_vm expects them.
fleet_vms=()
fleet_regions=()
fleet_data_centers=()
for ((n = 1; n <= vms; n++)); do
    fleet_vms+=("v$n")
    fleet_regions+=("r$(((n - 1) % 3))")
    fleet_data_centers+=("r$(((n - 1) % 3))-$(((n - 1) % 10))")
done
fleet_voters=(v1 v2 v3 v4 v5)

declare_fleet() {
    echo "- kind: fleet"
    echo "  floor_slots: $vms"
    echo "  vms:"
    local n
    for ((n = 1; n <= vms; n++)); do
        echo "    - {id: v$n, region: ${fleet_regions[n - 1]}, data_center: ${fleet_data_centers[n - 1]}}"
    done
    echo "- {kind: upstream_role, name: engine}"
    echo "- {kind: route, name: quotes, type: inference, model: quote-writer, upstream_role: engine}"
    # No upstream has this role: a request with a valid key is refused at once.
    echo "- {kind: upstream_role, name: none}"
    echo "- {kind: route, name: probes, type: inference, model: probe, upstream_role: none}"
    echo "- {kind: account, name: probe}"
}
# declare_accounts FROM TO
declare_accounts() {
    local n
    for ((n = $1; n <= $2; n++)); do
        echo "- {kind: account, name: account-$n}"
        echo "- {kind: rate, name: account-$n, tokens_per_second: 900, burst_tokens: 9000}"
    done
}
all_metrics() {
    local n urls=()
    for ((n = 1; n <= vms; n++)); do urls+=("http://$(fleet_http "$n")/metrics"); done
    curl -s -m 5 "${urls[@]}"
}
# lagging VERSION: number of VMs with an older configuration.
lagging() {
    all_metrics | awk -v want="$1" -v vms="$vms" \
        '/^hyssoploft_config_version /{ if ($2 >= want) ok++ } END { print vms - ok }'
}
in_force() { [ "$(lagging "$1")" -eq 0 ]; }
all_alive() {
    [ "$(all_metrics | awk -v vms="$vms" '/^hyssoploft_vms_alive /{ if ($2 == vms) ok++ } END { print ok + 0 }')" -eq "$vms" ]
}
now_ms() { date +%s%3N; }
version() { fleet_ctl status 2>/dev/null | sed -n 's/^version: //p'; }
# still_accepted VM...: those that don't refuse the key yet. A VM that did is
# not asked again: after some refusals it answers 429 to the address.
still_accepted() {
    local n args=()
    for n in "$@"; do
        [ ${#args[@]} -eq 0 ] || args+=(--next)
        args+=(-s -m 5 -o /dev/null -w "$n %{http_code}\n"
            -H "Authorization: Bearer $key" -H 'Content-Type: application/json'
            -d '{"model":"probe","messages":[{"role":"user","content":"x"}]}'
            "http://$(fleet_http "$n")/v1/chat/completions")
    done
    curl "${args[@]}" | awk '$2 != 401 { print $1 }'
}
# sample FILE: for each VM processor ticks and resident KB, then all counters.
sample() {
    local n
    for ((n = 1; n <= vms; n++)); do
        local pid=${fleet_pids[v$n]}
        awk -v n="$n" -v rss="$(awk '/^VmRSS/{print $2}' "/proc/$pid/status")" \
            '{ print n, $14 + $15, rss }' "/proc/$pid/stat"
    done >"$1.cpu"
    all_metrics | awk '/^hyssoploft_control_bytes_sent /{ s = $2 }
        /^hyssoploft_control_bytes_received /{ r = $2 }
        /^hyssoploft_leader /{ print ++n, s, r, $2 }' >"$1.bytes"
}

for ((n = 1; n <= vms; n++)); do fleet_vm "$n"; done
started=$(now_ms)
declare_fleet >"$fleet_dir/fleet.yaml"
fleet_wait 60 fleet_ctl apply -f "$fleet_dir/fleet.yaml" ||
    { echo "no configuration accepted" >&2; exit 1; }
# A batch holds at most 256 KiB.
for ((from = 1; from <= accounts; from += 500)); do
    to=$((from + 499 < accounts ? from + 499 : accounts))
    declare_accounts "$from" "$to" >"$fleet_dir/accounts.yaml"
    fleet_wait 30 fleet_ctl apply -f "$fleet_dir/accounts.yaml" ||
        { echo "accounts not accepted" >&2; exit 1; }
done
fleet_wait 90 all_alive || { echo "not all VMs joined" >&2; exit 1; }
fleet_wait 60 in_force "$(version)" || { echo "not in force" >&2; exit 1; }
joined=$(($(now_ms) - started))
if [ "$upstreams" -gt 0 ]; then
    addresses=$(for ((n = 1; n <= vms; n++)); do fleet_http "$n"; done | paste -sd,)
    "$fleet_build/Tests/LibControl/upstream_crowd" --upstreams="$upstreams" \
        --vms="$addresses" --address="$fleet_net.250" >"$fleet_dir/crowd.log" 2>&1 &
    fleet_pids[crowd]=$!
fi
sleep 8
sample "$fleet_dir/before"
sleep "$window"
sample "$fleet_dir/after"
cost=$(paste -d' ' "$fleet_dir"/before.{cpu,bytes} "$fleet_dir"/after.{cpu,bytes} |
    awk -v window="$window" -v hz="$(getconf CLK_TCK)" '{
        # Columns of a sample: n ticks rss n sent received leader.
        cpu = ($9 - $2) * 100 / hz / window; out = ($12 - $5) / window / 1000
        in_ = ($13 - $6) / window / 1000; rss = $10 / 1024
        if ($14 == 1) { leader_cpu = cpu; leader_out = out; leader_in = in_; leader_rss = rss; next }
        c += cpu; o += out; i += in_; m += rss; k++
        if (out + in_ > most) most = out + in_
    } END { printf "%.2f | %.2f | %.2f | %.2f | %.1f | %.2f | %.1f / %.1f | %.1f", o / k, i / k, most, c / k, m / k, leader_cpu, leader_out, leader_in, leader_rss }')

worst_change=0 sum_change=0
for round in 1 2 3 4 5; do
    echo "- {kind: account, name: probe, weight: $((round + 1))}" >"$fleet_dir/change.yaml"
    began=$(now_ms)
    # The version comes from the answer: other VMs may not have it yet.
    changed=$(fleet_ctl apply -f "$fleet_dir/change.yaml" | sed -n 's/^applied at version //p')
    [ -n "$changed" ] || { echo "change refused" >&2; exit 1; }
    fleet_wait 30 in_force "$changed" || echo "change not in force" >&2
    took=$(($(now_ms) - began))
    sum_change=$((sum_change + took))
    [ $took -le $worst_change ] || worst_change=$took
done
worst_refusal=0
for round in 1 2 3; do
    key=$(fleet_ctl key create probe "probe-$round" 2>/dev/null | grep -o 'hyssop_[0-9a-f]*')
    fleet_wait 30 in_force "$((${changed:?} + 2 * round - 1))" || echo "key not in force" >&2
    sleep 1
    accepting=$(still_accepted $(seq "$vms"))
    [ "$(wc -w <<<"$accepting")" -eq "$vms" ] || echo "key not accepted everywhere" >&2
    began=$(now_ms)
    fleet_ctl key withdraw "probe-$round" >/dev/null 2>&1 || echo "withdrawal refused" >&2
    end=$((SECONDS + 30))
    while [ -n "$accepting" ] && [ $SECONDS -lt $end ]; do
        accepting=$(still_accepted $accepting)
    done
    [ -z "$accepting" ] || echo "key not refused by" $accepting >&2
    took=$(($(now_ms) - began))
    [ $took -le $worst_refusal ] || worst_refusal=$took
done
echo "| $vms | $accounts | $upstreams | $cost | $joined | $((sum_change / 5)) / $worst_change | $worst_refusal |"
