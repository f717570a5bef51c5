#!/usr/bin/env bash
# Guards against orders for an upstream whose acknowledged departure arrived
# before its first announcement, or after a later start than the listed one had
# left: the departure has to wait for the announcement, at any control VM, and
# must not hold back the next start.
. "$(dirname "$0")/common.sh"
. Tests/Processes/platform_fleet.sh
platform_init "2 1" "1 1"
platform_start_all
platform_upstream stays desk r1
for id in unheard older; do
    platform_upstream "$id" desk r1 --heartbeats=false
done
platform_desk_manifest 1 >"$fleet_dir/manifest.json"
check_soon 30 "the configuration is acknowledged" \
    platform_put "$fleet_dir/manifest.json"
for entry in "${platform_entry[@]}"; do
    check_soon 30 "$entry serves" platform_is_served "$entry"
done

born=$(unix_ms)
check "an earlier start is announced" \
    platform_acknowledges platform_heartbeat control-r1-1 older ready 1 $((born - 60000))
check_soon 10 "the earlier start is used" platform_is_used older

# The announcements of these starts are still on their way.
departed=$(unix_ms)
for id in unheard older; do
    check "the departure of $id is acknowledged" \
        platform_acknowledges platform_deregister control-r1-1 "$id"
done
sleep 0.5
for id in unheard older; do
    check "the late announcement of $id is answered" \
        platform_acknowledges platform_heartbeat control-r1-2 "$id" ready 2 "$born"
done
sleep 3
declare -A calls=()
for id in unheard older; do
    calls[$id]=$(platform_calls "$id")
done
platform_orders after 15
for id in unheard older; do
    check "no order reaches $id" \
        [ "$(platform_calls "$id")" -eq "${calls[$id]}" ]
done
check "every order was answered" platform_all_answered

# A start that begins after the departure.
again=$(unix_ms)
check "the next start is later" [ "$again" -gt "$departed" ]
for id in unheard older; do
    check "the next start of $id is announced" \
        platform_acknowledges platform_heartbeat control-r2-1 "$id" ready 1 "$again"
    check_soon 3 "the next start of $id is used" platform_is_used "$id"
done
