#!/usr/bin/env bash
# Guards against a region that stops serving when the others are unreachable,
# against a withdrawal that does not work inside it, against orders that run
# without a quorum, and against a withdrawal or configuration that is undone
# when the regions meet again. The other regions are paused, so they fall
# silent without closing a connection.
. "$(dirname "$0")/common.sh"
start
second_key=$(fleet_ctl key create tablets tablets-1 | grep -o 'hyssop_[0-9a-f]*')
accepts_second() {
    [ "$(fleet_key=$second_key status_of "$1" quote-writer)" = 200 ]
}
refuses_second() {
    [ "$(fleet_key=$second_key status_of "$1" quote-writer)" = 401 ]
}
check_soon 20 "the second key is in force in the north" accepts_second 8
before=$(config_version)

# Region north has one of the five replicas: no quorum.
for n in 1 2 3 4 5 6; do
    fleet_kill STOP "v$n"
done
fleet_kill STOP engine-east
fleet_kill STOP engine-west
fleet_kill STOP booking-east
check_soon 20 "the cut-off region serves" has_status 8 quote-writer 200
fleet_admin_list=$(fleet_admin 7)
not_run_refusal() {
    fleet_book 8 cut-off | grep -q '"not_run":true'
}
check_soon 30 "an order without a quorum is refused as not run" not_run_refusal
check "a withdrawal is accepted inside the region" fleet_ctl key withdraw tablets-1
for n in 7 8 9; do
    check_soon 10 "v$n refuses the withdrawn key while cut off" refuses_second "$n"
done
# A restart inside the cut-off region comes up with what its region has.
fleet_kill KILL v8
fleet_reap v8
fleet_vm 8
check_soon 20 "a VM that restarts meanwhile gets the region's configuration" version_is 8 "$before"
check_soon 20 "and refuses the withdrawn key" refuses_second 8
check_soon 20 "and serves the others" has_status 8 quote-writer 200

for n in 1 2 3 4 5 6; do
    fleet_kill CONT "v$n"
done
fleet_kill CONT engine-east
fleet_kill CONT engine-west
fleet_kill CONT booking-east
unset fleet_admin_list
for n in 1 5 9; do
    check_soon 30 "v$n refuses the withdrawn key after the regions met" refuses_second "$n"
done
committed() { [ "$(config_version)" -gt "$before" ]; }
check_soon 30 "the withdrawal is committed to the log" committed
check_soon 30 "orders work again" books_with 8 after-heal 200
check "the refused order did not run" [ "$(runs_of cut-off)" -le 1 ]
