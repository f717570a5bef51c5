#!/usr/bin/env bash
# Guards against a new fleet in which only the founding replica can lead: its
# first leader is lost for good right after the fleet was founded, and a second
# control VM after that.
. "$(dirname "$0")/common.sh"
start
declare_account() {
    echo "- {kind: account, name: $1}" >"$fleet_dir/$1.yaml"
    fleet_ctl apply -f "$fleet_dir/$1.yaml"
}
check_soon 20 "a leader is known" has_leader
first=$(leader_vm)
fleet_kill KILL "$first"
fleet_reap "$first"
fleet_admin_list=$(control_admins "$first")
other_leader() { has_leader && [ "$(leader_vm)" != "$first" ]; }
check_soon 30 "another leader follows $first" other_leader
check_soon 30 "a change without $first" declare_account without-first
check_soon 30 "an order without $first" books_with 9 without-first 200

second=$(leader_vm)
[ "$failures" -eq 0 ] || exit 1
fleet_kill KILL "$second"
fleet_reap "$second"
fleet_admin_list=$(control_admins "$first" "$second")
third_leader() { other_leader && [ "$(leader_vm)" != "$second" ]; }
check_soon 30 "another leader follows $second" third_leader
check_soon 30 "a change with three of five" declare_account with-three
check_soon 30 "an order with three of five" books_with 9 with-three 200
check "the first order ran once" [ "$(runs_of without-first)" -eq 1 ]
