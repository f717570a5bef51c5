#!/usr/bin/env bash
# Guards against an accepted change that is lost when a disk is lost, its VM
# is repaired, and right after that two more control VMs are lost.
. "$(dirname "$0")/common.sh"
start
declare_account() {
    echo "- {kind: account, name: $1}" >"$fleet_dir/$1.yaml"
    fleet_ctl apply -f "$fleet_dir/$1.yaml"
}
has_account() { fleet_ctl get account "$1" | grep -q "\"$1\""; }
check_soon 20 "a change before the loss" declare_account before-loss

fleet_kill KILL v2
fleet_reap v2
rm -rf "$fleet_dir/v2"
check_soon 20 "a change while one disk is lost" declare_account while-lost
fleet_vm 2
voter_again() { grep -h 'membership_change kind=remove' "$fleet_dir"/*.log; }
check_soon 60 "the new replica became a voter and the old one was removed" voter_again
check_soon 20 "a change right after the repair" declare_account after-repair

# The repaired replica is needed for the quorum now.
fleet_kill KILL v4
fleet_kill KILL v5
fleet_admin_list="$(fleet_admin 1),$(fleet_admin 2),$(fleet_admin 7)"
check_soon 60 "a change with the repaired replica in the quorum" declare_account second-loss
for name in before-loss while-lost after-repair second-loss; do
    check_soon 12 "account $name is in force" has_account "$name"
done
check_soon 30 "orders work" books_with 3 after-second-loss 200
