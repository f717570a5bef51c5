#!/usr/bin/env bash
# Guards against a configuration that reverts or is lost when every process
# is killed after hundreds of changes.
. "$(dirname "$0")/common.sh"
start
token=$(cat "$fleet_dir/operator-token")
changes=300
before=$(config_version)
for ((i = 1; i <= changes; i++)); do
    curl -s -m 10 -o /dev/null "http://$(fleet_admin 1)/admin/v1/apply" \
        -H "Authorization: Bearer $token" \
        -d "{\"request_id\":\"change-$i\",\"changes\":[{\"set\":{\"kind\":\"account\",\"name\":\"extra-$((i % 20))\",\"weight\":$i}}]}"
done
# Each of them is a change of its own, so the version counts them.
version=$((before + changes))
for n in 1 2 3 4 5 6 7 8 9; do
    check_soon 15 "version $version is in force at v$n" version_is "$n" "$version"
done
for n in 1 2 3 4 5 6 7 8 9; do
    fleet_kill KILL "v$n"
    fleet_reap "v$n"
done
for n in 1 2 3 4 5 6 7 8 9; do
    fleet_vm "$n"
done
for n in 1 2 3 4 5 6 7 8 9; do
    check_soon 30 "version $version is in force at v$n after the restart" version_is "$n" "$version"
done
check_soon 30 "the fleet serves" has_status 9 quote-writer 200
check_soon 30 "orders work" books_with 9 after-restart 200
