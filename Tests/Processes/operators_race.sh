#!/usr/bin/env bash
# Guards against two winners of a race under equal versions, and against a
# resend after a lost answer that is applied twice, also when the leader
# changes between the two.
. "$(dirname "$0")/common.sh"
start
token=$(cat "$fleet_dir/operator-token")
# admin_apply N REQUEST WEIGHT VERSION: sets the weight of account "tablets".
admin_apply() {
    curl -s -m 20 "http://$(fleet_admin "$1")/admin/v1/apply" \
        -H "Authorization: Bearer $token" \
        -d "{\"request_id\":\"$2\",\"changes\":[{\"set\":{\"kind\":\"account\",\"name\":\"tablets\",\"weight\":$3},\"expected_version\":$4}]}"
}
version_of_account() { fleet_ctl get account tablets | grep -o '"version":[0-9]*' | head -n 1 | cut -d: -f2; }
# version_in FILE: the version in an outcome.
version_in() { grep -o '"version":[0-9]*' "$1" | head -n 1 | cut -d: -f2; }

wins=0
conflicts=0
version=$(version_of_account)
for round in 1 2 3 4 5; do
    admin_apply 1 "race-$round-a" $((10 + round)) "$version" >"$fleet_dir/a" &
    first=$!
    admin_apply 7 "race-$round-b" $((20 + round)) "$version" >"$fleet_dir/b"
    wait $first
    for answer in a b; do
        if grep -q '"applied"' "$fleet_dir/$answer"; then
            wins=$((wins + 1))
            # A VM can lag for a moment: the outcome tells the new version.
            next=$(version_in "$fleet_dir/$answer")
        elif grep -q '"conflict"' "$fleet_dir/$answer"; then
            conflicts=$((conflicts + 1))
        else
            echo "round $round: $(cat "$fleet_dir/$answer")"
        fi
    done
    version=${next:-$version}
done
check "each race has one winner ($wins of 5)" [ "$wins" -eq 5 ]
check "each loser gets a conflict ($conflicts of 5)" [ "$conflicts" -eq 5 ]

first_answer=$(admin_apply 2 resend-1 97 "$version")
leader=$(leader_vm)
fleet_kill KILL "$leader"
fleet_reap "$leader"
other=1
[ "$leader" = v1 ] && other=2
resent() { [ "$(admin_apply "$other" resend-1 97 "$version")" = "$first_answer" ]; }
check_soon 40 "a resend through the next leader gets the first outcome" resent
reused() { admin_apply "$other" resend-1 98 "$version" | grep -q request_id_reuse; }
check_soon 20 "another change under the same identifier is refused" reused
