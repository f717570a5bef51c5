#!/usr/bin/env bash
# Guards against acknowledged departures that are lost with the control VM that
# took them: it must not acknowledge one that no other VM can know, and one that
# it acknowledged holds although it is killed at once, although all control VMs
# are, and with a minority of them gone. "draining" counts like a departure.
. "$(dirname "$0")/common.sh"
. Tests/Processes/platform_fleet.sh
platform_init "2 1" "1 1"
platform_start_all
platform_upstream stays desk r1
upstreams=(alone deregisters drains)
for id in "${upstreams[@]}"; do
    platform_upstream "$id" desk r1 --heartbeats=false
done
platform_desk_manifest 1 >"$fleet_dir/manifest.json"
check_soon 30 "the configuration is acknowledged" \
    platform_put "$fleet_dir/manifest.json"
for entry in "${platform_entry[@]}"; do
    check_soon 30 "$entry serves" platform_is_served "$entry"
done

born=$(unix_ms)
# announce VM ID STATE
announce() { platform_heartbeat "$1" "$2" "$3" "$(unix_ms)" "$born"; }
listed() { # VM ID: announced to one control VM, and used.
    check "$2 is announced" platform_acknowledges announce "$1" "$2" ready
    check_soon 10 "$2 is used" platform_is_used "$2"
}
# gets_none ID...: after the time in which a departure takes effect.
gets_none() {
    local id
    local -A before=()
    sleep 3
    for id in "$@"; do
        before[$id]=$(platform_calls "$id")
    done
    platform_orders "after-$1-$RANDOM" 15
    for id in "$@"; do
        check "no order reaches $id" \
            [ "$(platform_calls "$id")" -eq "${before[$id]}" ]
    done
}
# loses VM: its process is killed and comes back with its disk.
loses() {
    fleet_kill KILL "$1"
    sleep 0.5
    platform_start "$1" false
}

# No other control VM can know of this departure while they stand still.
listed control-r1-2 alone
for name in control-r1-1 control-r2-1; do fleet_kill STOP "$name"; done
status=$(platform_deregister control-r1-2 alone)
check "a departure that no other VM knows is not acknowledged" \
    [ "$status" != 200 ]
[ "$status" != 200 ] || loses control-r1-2
for name in control-r1-1 control-r2-1; do fleet_kill CONT "$name"; done
check_soon 6 "it is acknowledged once they go on" \
    platform_acknowledges platform_deregister control-r1-2 alone
gets_none alone

listed control-r1-1 deregisters
check_soon 6 "the departure is acknowledged" \
    platform_acknowledges platform_deregister control-r1-1 deregisters
loses control-r1-1
gets_none deregisters

listed control-r2-1 drains
check_soon 6 "\"draining\" is acknowledged" \
    platform_acknowledges announce control-r2-1 drains draining
loses control-r2-1
gets_none drains

# All that control VMs had in memory is gone, and late copies of announcements
# come to all of them.
for name in "${platform_control[@]}"; do fleet_kill KILL "$name"; done
sleep 0.5
for name in "${platform_control[@]}"; do platform_start "$name" false; done
for id in "${upstreams[@]}"; do
    for name in "${platform_control[@]}"; do
        check_soon 10 "a late announcement of $id is answered by $name" \
            platform_acknowledges announce "$name" "$id" ready
    done
done
gets_none "${upstreams[@]}"

# A minority is gone: departures are acknowledged, and repeats of the known
# ones are, too.
fleet_kill KILL control-r2-1
for id in "${upstreams[@]}"; do
    check_soon 6 "a repeat of the departure of $id is acknowledged" \
        platform_acknowledges platform_deregister control-r1-2 "$id"
done
born=$(unix_ms)
for id in "${upstreams[@]}"; do
    check "the next start of $id is announced" \
        platform_acknowledges announce control-r1-2 "$id" ready
    check_soon 3 "the next start of $id is used" platform_is_used "$id"
done
check_soon 6 "a departure is acknowledged with a control VM gone" \
    platform_acknowledges platform_deregister control-r1-2 alone
gets_none alone
check "every order was answered" platform_all_answered
