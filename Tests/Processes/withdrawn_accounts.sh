#!/usr/bin/env bash
# Guards against requests that run without a valid key once a configuration has
# taken the last client account away: at entry VMs that got the configuration
# as a change, after a restart of every VM from the log, and at entry VMs that
# start later. An account that is brought back is served again.
. "$(dirname "$0")/common.sh"
. Tests/Processes/platform_fleet.sh
platform_init "2 1" "1 1"
platform_start_all
platform_upstream u-1 desk r1

account='{"name":"shop","api-keys":["key-of-shop"],"priority":1,
 "unit":"tokens","plain-tokens":200,"rate-per-s":0,"burst":0,
 "home-regions":[]}'
manifest() { # VERSION ACCOUNTS
    cat <<JSON
{"version":$1,"routes":[
 {"name":"orders","host":"desk.example","path-prefix":"/orders/",
  "kind":"unsafe","timeout-ms":5000,"target-latency-ms":2000,"priority":1,
  "service":"desk","max-attempts":1,"public":false,"home-regions":[]},
 {"name":"open","host":"desk.example","path-prefix":"/open/",
  "kind":"safe","timeout-ms":5000,"target-latency-ms":2000,"priority":1,
  "service":"desk","max-attempts":2,"public":true,"home-regions":[]}],
 "services":[{"name":"desk","health-path":"/healthz","max-conns":96}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,
  "header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[$2]}
JSON
}
put() { # VERSION ACCOUNTS
    manifest "$1" "$2" >"$fleet_dir/manifest.json"
    platform_put "$fleet_dir/manifest.json"
}
# status_of ENTRY PATH [CURL-OPTION...]
calls=0
status_of() {
    calls=$((calls + 1))
    curl -s -m 8 -o /dev/null -w '%{http_code}' -H 'Host: desk.example' \
        -H "Hyssoploft-Request-Id: call-$calls-$RANDOM" \
        -H 'Hyssoploft-Deadline-Ms: 5000' "${@:3}" \
        "http://$(platform_entry_address "$1")$2"
}
has_status() { # ENTRY STATUS PATH [CURL-OPTION...]
    local status
    status=$(status_of "$1" "${@:3}")
    [ "$status" = "$2" ] || {
        echo "status $status, not $2"
        return 1
    }
}
valid=(-H 'Hyssoploft-Key: key-of-shop')
unknown=(-H 'Hyssoploft-Key: key-of-nobody')
# refuses_all NAME ENTRY
refuses_all() {
    check "$2, $1: the key that was taken away" \
        has_status "$2" 401 /orders/1 "${valid[@]}"
    check "$2, $1: an unknown key" has_status "$2" 401 /orders/1 "${unknown[@]}"
    check "$2, $1: no key" has_status "$2" 401 /orders/1
    check "$2, $1: an open route" has_status "$2" 200 /open/1
}

check_soon 30 "the configuration with an account is acknowledged" \
    put 1 "$account"
for entry in "${platform_entry[@]}"; do
    check_soon 30 "$entry serves the account" \
        has_status "$entry" 200 /orders/1 "${valid[@]}"
    check "$entry refuses an unknown key" \
        has_status "$entry" 401 /orders/1 "${unknown[@]}"
done

check_soon 10 "the configuration without accounts is acknowledged" put 2 ""
for entry in "${platform_entry[@]}"; do
    check_soon 10 "$entry has taken it up" \
        has_status "$entry" 401 /orders/1 "${valid[@]}"
    refuses_all "after the change" "$entry"
done

for name in "${platform_control[@]}" "${platform_entry[@]}"; do
    fleet_kill KILL "$name"
done
for name in "${platform_control[@]}" "${platform_entry[@]}"; do
    platform_start "$name" false
done
for entry in "${platform_entry[@]}"; do
    check_soon 30 "$entry is ready again" platform_ready "$entry"
    check_soon 30 "$entry reaches the upstream again" \
        has_status "$entry" 200 /open/1
    refuses_all "after a restart" "$entry"
done

check_soon 10 "the configuration with the account is acknowledged" \
    put 3 "$account"
for entry in "${platform_entry[@]}"; do
    check_soon 10 "$entry serves the account again" \
        has_status "$entry" 200 /orders/1 "${valid[@]}"
    check "$entry refuses an unknown key again" \
        has_status "$entry" 401 /orders/1 "${unknown[@]}"
done
