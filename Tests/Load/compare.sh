#!/usr/bin/env bash
# Compares policies on real processes under load and faults.
#
#   Tests/Load/compare.sh valea|ferreira SEEDS OUTPUT [SECONDS] [POLICY...]
#
# A policy is ROUTER/ADMISSION or ROUTER/ADMISSION/DAEMON with the path of
# another daemon, to compare two versions. For each seed, each policy gets a fresh fleet, the same
# arrivals and the same faults; the order of the policies turns with the seed,
# so that noise of the machine hits all of them. OUTPUT gets one JSON line a
# run; Tests/Load/summarize.py makes a table of it.
set -uo pipefail
cd "$(dirname "$0")/../.."
deployment=$1 seeds=$2 output=$3 seconds=${4:-20}
shift $(($# < 4 ? $# : 4))
policies=("$@")
[ ${#policies[@]} -gt 0 ] || policies=(expected_time/fair round_robin/fair least_in_flight/fair expected_time/fifo)
. Meta/local-fleet.sh

case $deployment in
valea) engines=12 bookings=3 calls=27 tokens=1550 ;;
ferreira)
    engines=9 bookings=3 calls=9 tokens=3200
    fleet_vms=(v1 v2 v3 v4 v5 v6)
    fleet_regions=(east east west west north north)
    fleet_data_centers=(east-a east-b west-a west-b north-a north-b)
    fleet_voters=(v1 v2 v3 v4 v5)
    ;;
*)
    echo "unknown deployment: $deployment" >&2
    exit 2
    ;;
esac
vms=${#fleet_vms[@]}
regions=(east west north)
accounts=(large-a large-b small-a small-b small-c)
shares=(40 30 12 10 8)
# Bytes per second of a link between regions: 2 Gbit/s and 110 Mbit/s.
link=250000000
[ "$deployment" = valea ] || link=13750000

declare_load() {
    echo "- kind: fleet"
    echo "  floor_slots: $vms"
    echo "  vms:"
    local n from to model region
    for ((n = 1; n <= vms; n++)); do
        echo "    - {id: v$n, region: ${fleet_regions[n - 1]}, data_center: ${fleet_data_centers[n - 1]}}"
    done
    echo "  links:"
    for from in "${regions[@]}"; do
        for to in "${regions[@]}"; do
            [ "$from" = "$to" ] || echo "    - {from: $from, to: $to, bytes_per_second: $link}"
        done
    done
    echo "- {kind: upstream_role, name: engine}"
    echo "- {kind: upstream_role, name: booking}"
    for region in "${regions[@]}"; do
        echo "- {kind: residency, name: stay-$region, regions: [$region]}"
    done
    for n in 0 1 2 3 4; do
        # Twice its mean share; a burst of 20 s.
        local rate=$((2 * calls * tokens * shares[n] / 100))
        echo "- {kind: account, name: ${accounts[n]}}"
        echo "- {kind: rate, name: ${accounts[n]}, tokens_per_second: $rate, burst_tokens: $((20 * rate)), floor_fraction: 0.5}"
        echo "${accounts[n]} $rate $((20 * rate))" >>"$fleet_dir/rates"
    done
    for model in label quote review; do
        local priority=interactive deadline=20s
        [ "$model" != review ] || priority=batch deadline=60s
        echo "- {kind: route, name: $model, type: inference, model: $model, upstream_role: engine, priority: $priority, deadline: $deadline}"
        for region in "${regions[@]}"; do
            echo "- {kind: route, name: $model-$region, type: inference, model: $model-$region, upstream_role: engine, priority: $priority, deadline: $deadline, residency: stay-$region}"
        done
    done
    echo "- {kind: route, name: slots, type: service, path_prefix: /bookings, upstream_role: booking, repeat: not_repeatable, deadline: 10s, record_lifetime: 1d}"
}

models=label,quote,review
for it in label quote review; do
    for r in "${regions[@]}"; do models+=,$it-$r; done
done

# first_vm REGION, next_vm REGION: numbers of two VMs of a region.
first_vm() { echo $((1 + $1 * vms / 3)); }
region_vms() {
    local n out=()
    for ((n = 1 + $1 * vms / 3; n <= ($1 + 1) * vms / 3; n++)); do out+=("$(fleet_http "$n")"); done
    (IFS=,; echo "${out[*]}")
}

# start_engine NUMBER [FLAG...]: engine NUMBER is in region NUMBER % 3. It
# announces to the VMs of its region and sends them its cache events.
start_engine() {
    local i=$1 r=$(($1 % 3)) n
    shift
    n=$(first_vm $r)
    "$fleet_engine" --id="engine-$i" --address="$fleet_net.$((100 + i)):7400" \
        --vms="$(region_vms $r)" --event_vms="$(region_vms $r)" \
        --region="${regions[r]}" --data_center="${fleet_data_centers[n - 1 + (i / 3) % (vms / 3)]}" \
        --models="$models" --batching --load_lag_ms=$((500 + 300 * (i % 5))) "$@" \
        >>"$fleet_dir/engine-$i.log" 2>&1 &
    fleet_pids[engine-$i]=$!
}

start_booking() {
    local n
    n=$(first_vm "$1")
    "$fleet_booking" --id="booking-$1" --address="$fleet_net.$((150 + $1)):7400" \
        --vms="$(region_vms "$1")" --region="${regions[$1]}" \
        --data_center="${fleet_data_centers[n - 1]}" --work_ms=20 >>"$fleet_dir/booking-$1.log" 2>&1 &
    fleet_pids[booking-$1]=$!
}

region_signal() {
    local n i
    for ((n = 1 + $2 * vms / 3; n <= ($2 + 1) * vms / 3; n++)); do fleet_kill "$1" "v$n"; done
    for ((i = $2; i < engines; i += 3)); do fleet_kill "$1" "engine-$i"; done
    fleet_kill "$1" "booking-$2"
}

# at PART: waits until this part of the traffic's time has passed.
at() {
    local left
    left=$(awk -v s="$started" -v p="$1" -v t="$seconds" -v now="$(date +%s.%N)" 'BEGIN { d = s + p * t - now; if (d < 0) d = 0; print d }')
    sleep "$left"
}

# The faults of a run, in parts of its time: region east loses two engines
# from 0.25 to 0.5, engine-1 is 4 times slower all the time, region north is
# cut off by pausing its processes from 0.75 to 0.85, first keys are
# withdrawn at 0.7 (callers changed theirs at 0.3).
faults() {
    started=$(date +%s.%N)
    [ "${LOAD_FAULTS:-on}" = on ] || return 0
    at 0.25
    for i in 0 3; do
        fleet_kill KILL engine-$i
        fleet_reap engine-$i
    done
    at 0.5
    for i in 0 3; do start_engine $i; done
    at 0.7
    for a in "${accounts[@]}"; do fleet_ctl key withdraw "$a-1" >/dev/null 2>&1; done
    at 0.75
    region_signal STOP 2
    at 0.85
    region_signal CONT 2
}

run_one() {
    local router admission daemon seed=$2 n i a
    IFS=/ read -r router admission daemon <<<"$1"
    fleet_daemon=${daemon:+/$daemon}
    fleet_daemon=${fleet_daemon:-$fleet_build/Services/hyssoploft/hyssoploft}
    fleet_init
    fleet_admin_list=$(fleet_admin 1),$(fleet_admin $((1 + vms / 3))),$(fleet_admin $((1 + 2 * vms / 3)))
    for ((n = 1; n <= vms; n++)); do
        fleet_vm "$n" --seeds="$(fleet_peer 1),$(fleet_peer 3),$(fleet_peer 5)" --router="$router" --admission="$admission"
    done
    for ((i = 0; i < engines; i++)); do
        if [ "$i" = 1 ]; then start_engine 1 --slowness=4; else start_engine "$i"; fi
    done
    for ((i = 0; i < bookings; i++)); do start_booking "$i"; done
    declare_load >"$fleet_dir/load.yaml"
    fleet_wait 30 fleet_ctl apply -f "$fleet_dir/load.yaml" || return 1
    while read -r a rate burst; do
        echo "$a $rate $burst $(fleet_ctl key create "$a" "$a-1" | grep -o 'hyssop_[0-9a-f]*') $(fleet_ctl key create "$a" "$a-2" | grep -o 'hyssop_[0-9a-f]*')"
    done <"$fleet_dir/rates" >"$fleet_dir/accounts"
    fleet_key=$(awk 'NR == 1 { print $5 }' "$fleet_dir/accounts")
    ready() { fleet_tokens=1 fleet_streamed=true fleet_chat "$1" label -f -o /dev/null; }
    for ((n = 1; n <= vms; n++)); do fleet_wait 20 ready "$n" || return 1; done
    # Lets the accounts' credit accrue.
    sleep 4
    local list=() asked=()
    for ((i = 0; i < engines; i++)); do list+=("$fleet_net.$((100 + i)):7400"); done
    for n in 1 $((1 + vms / 3)) $((vms)); do asked+=("$(fleet_http "$n")"); done
    "$fleet_build/Tests/StandIns/Load/load_generator" --deployment="$deployment" --seed="$seed" \
        --seconds="$seconds" --rate="${LOAD_RATE:-1}" --vms="$(IFS=,; echo "${asked[*]}")" \
        --engines="$(IFS=,; echo "${list[*]}")" --accounts="$fleet_dir/accounts" \
        >"$fleet_dir/result" 2>"$fleet_dir/generator.log" &
    fleet_pids[generator]=$!
    faults
    fleet_reap generator
    local reasons
    reasons=$(for ((n = 1; n <= vms; n++)); do curl -s -m 2 "http://$(fleet_http "$n")/metrics"; done |
        sed -n 's/^hyssoploft_routing_decisions_total{reason="\(.*\)"} \(.*\)/\1 \2/p' |
        awk '{ n[$1] += $2 } END { for (r in n) printf "%s\"%s\":%d", s++ ? "," : "", r, n[r] }')
    [ "$fleet_exit_code" = 0 ] && sed "s|^{|{\"policy\":\"$router/$admission${daemon:+ (${daemon##*/})}\",\"decisions\":{$reasons},|" "$fleet_dir/result" >>"$output"
}

trap 'fleet_stop' EXIT
for ((seed = 1; seed <= seeds; seed++)); do
    for ((k = 0; k < ${#policies[@]}; k++)); do
        policy=${policies[$(((k + seed) % ${#policies[@]}))]}
        if run_one "$policy" "$seed"; then
            echo "$(date +%T) $deployment seed $seed $policy done, load average $(cut -d' ' -f1 /proc/loadavg)"
        else
            echo "FAILED: $deployment seed $seed $policy"
            tail -q -n 2 "$fleet_dir"/*.log | head -40
        fi
        fleet_stop
    done
done
