#!/usr/bin/env bash
# Guards against a voter that was paused for long and reverts the
# configuration, disturbs the leader or runs an order again when it returns.
# First the leader is paused, then a second voter before the first is back.
. "$(dirname "$0")/common.sh"
start
token=$(cat "$fleet_dir/operator-token")
declare_account() {
    echo "- {kind: account, name: $1}" >"$fleet_dir/$1.yaml"
    fleet_ctl apply -f "$fleet_dir/$1.yaml"
}
term_at() {
    curl -s -m 5 "http://$(fleet_admin "$1")/admin/v1/status" \
        -H "Authorization: Bearer $token" | grep -o '"term":[0-9]*' | cut -d: -f2
}
check_soon 20 "a leader is known" has_leader
first=$(leader_vm)
check "an order before the pause" books_with 9 before-pause 200
fleet_kill STOP "$first"
fleet_admin_list=$(control_admins "$first")
new_leader() { has_leader && [ "$(leader_vm)" != "$first" ]; }
check_soon 30 "another leader is elected" new_leader
[ "$failures" -eq 0 ] || exit 1
for ((i = 1; i <= 20; i++)); do
    check_soon 20 "change $i while the old leader is paused" declare_account "paused-$i"
done
check_soon 30 "an order while the old leader is paused" books_with 9 while-paused 200
# A second voter falls silent before the first returns; three of five remain.
second=
for n in 7 5 4 2 1; do
    if [ "v$n" != "$first" ] && [ "v$n" != "$(leader_vm)" ]; then
        second=v$n
        break
    fi
done
fleet_kill STOP "$second"
fleet_admin_list=$(control_admins "$first" "$second")
check_soon 30 "a change while two voters are paused" declare_account two-paused
sleep 20
version=$(config_version)
leader=$(leader_vm)
term=$(term_at "${leader#v}")

fleet_kill CONT "$first"
check_soon 30 "$first has version $version in force after its return" version_is "${first#v}" "$version"
fleet_kill CONT "$second"
check_soon 30 "$second has version $version in force after its return" version_is "${second#v}" "$version"
check "the leader $leader was not disturbed" [ "$(leader_vm)" = "$leader" ]
check "and its term $term is the same" [ "$(term_at "${leader#v}")" = "$term" ]
unset fleet_admin_list
for n in 1 2 3 4 5 6 7 8 9; do
    check_soon 20 "version $version is in force at v$n" version_is "$n" "$version"
done
check_soon 30 "the old leader's VM takes orders" books_with "${first#v}" after-return 200
for key in before-pause while-paused; do
    check_soon 30 "a repeat of $key through the old leader is answered" books_with "${first#v}" "$key" 200
    check "$key ran once" [ "$(runs_of "$key")" -eq 1 ]
done
