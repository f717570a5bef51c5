#!/usr/bin/env bash
# Guards against a command that can't read the VMs' directory, and against a
# directory that names VMs which are dead or leave. One VM is killed and
# another one drained at the same time.
. "$(dirname "$0")/common.sh"
start
listed() {
    "$fleet_ctl_program" --entry="$(fleet_http 1),$(fleet_http 2)" entry-vms |
        grep -q "$(fleet_http "$1")"
}
check_soon 10 "hyssopctl lists v4 from the directory" listed 4
fleet_kill KILL v9
fleet_reap v9
drain_v6() { fleet_admin_list=$(fleet_admin 6) fleet_ctl drain; }
check "v6 is drained" drain_v6
in_page() { curl -s -m 5 "http://$(fleet_http 1)/v1/entry-vms" | grep -q "\"$(fleet_http "$1")\""; }
absent() { ! in_page "$1"; }
check_soon 15 "the killed VM is gone from the directory" absent 9
check_soon 15 "the drained VM is gone from the directory" absent 6
check "the others are listed" in_page 4
fleet_reap v6
check "the drained VM ended in order (exit code $fleet_exit_code)" [ "$fleet_exit_code" -eq 0 ]
