#!/usr/bin/env bash
# Guards against a fleet key that can't be exchanged while the fleet serves:
# the steps of docs/operations/fleet-key-rotation.md by rolling restart, with
# an order through another region after each step. A VM that takes no part in
# the rotation is shut out at its end.
. "$(dirname "$0")/common.sh"
start
(
    umask 077
    head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$fleet_dir/new-key"
)
old=$fleet_dir/fleet-key new=$fleet_dir/new-key
# restart_all FLAG...: each VM but v9 in turn, in order.
restart_all() {
    local n bad=0
    for n in 3 6 8 1 2 4 5 7; do
        fleet_kill TERM "v$n"
        fleet_reap "v$n"
        [ "$fleet_exit_code" -eq 0 ] || bad=$((bad + 1))
        fleet_vm "$n" "$@"
        fleet_wait 30 has_status "$n" quote-writer 200 || bad=$((bad + 1))
    done
    check "each VM ended in order and served again ($bad did not)" [ "$bad" -eq 0 ]
}
serves_orders() {
    check_soon 30 "orders through v1 after step $1" books_with 1 "step-$1-east" 200
    check_soon 30 "orders through v8 after step $1" books_with 8 "step-$1-north" 200
}
restart_all --other_fleet_key_file="$new" --other_fleet_key_id=2
serves_orders 1
restart_all --fleet_key_file="$new" --fleet_key_id=2 \
    --other_fleet_key_file="$old" --other_fleet_key_id=1
serves_orders 2
restart_all --fleet_key_file="$new" --fleet_key_id=2 --other_fleet_key_id=1
serves_orders 3
for step in 1 2 3; do
    check "the orders of step $step ran once" [ "$(runs_of "step-$step-east")" -eq 1 ]
done
shut_out() { [ "$(fleet_chat 9 quote-writer | grep -o '"reason":"vm_isolated"')" ]; }
check_soon 30 "the VM with the old key alone refuses keyed requests" shut_out
