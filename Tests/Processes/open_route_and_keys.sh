#!/usr/bin/env bash
# Guards against a keyed route that runs without a valid key, against an open
# route that asks for one, and against a key that reaches an upstream, while
# the leader is killed and another VM is paused.
. "$(dirname "$0")/common.sh"
start
check_soon 20 "a leader is known" has_leader
leader=$(leader_vm)
fleet_kill KILL "$leader"
fleet_reap "$leader"
paused=v6
fleet_kill STOP "$paused"
hours() {
    local n=$1
    shift
    curl -s -m 10 -o /dev/null -w '%{http_code}' "http://$(fleet_http "$n")/opening-hours" "$@"
}
open_answers() {
    local n=$1
    shift
    [ "$(hours "$n" "$@")" = 200 ]
}
keyless() { [ "$(fleet_key= status_of "$1" quote-writer)" = 401 ]; }
wrong_key() { [ "$(fleet_key=hyssop_0123 status_of "$1" quote-writer)" = 401 ]; }
keyless_order() {
    fleet_key= fleet_book "$1" "keyless-$1" | grep -q '"reason":"missing_key"'
}
dot_segments_refused() {
    [ "$(curl -s -m 10 -o /dev/null -w '%{http_code}' --path-as-is "http://$(fleet_http "$1")/opening-hours/../bookings")" = 404 ]
}
for n in 1 2 3 4 5 6 7 8 9; do
    if [ "v$n" = "$leader" ] || [ "v$n" = "$paused" ]; then
        continue
    fi
    check_soon 20 "v$n answers the open route without a key" open_answers "$n"
    check_soon 20 "and with an unknown one" open_answers "$n" -H 'Authorization: Bearer hyssop_0123'
    check "v$n refuses a keyed route without a key" keyless "$n"
    check "and with an unknown one" wrong_key "$n"
    check "and an order without a key" keyless_order "$n"
    check "v$n does not lead dot segments out of the open path" dot_segments_refused "$n"
    check_soon 20 "a key in header, query and cookie is taken out" open_answers "$n" \
        -H "x-api-key: $fleet_key" -H "Cookie: key=$fleet_key" -G -d "api_key=$fleet_key"
done
keyless_runs=0
for n in 1 2 3 4 5 6 7 8 9; do
    keyless_runs=$((keyless_runs + $(runs_of "keyless-$n")))
done
check "no order ran without a key" [ "$keyless_runs" -eq 0 ]
for address in "$fleet_address_booking_east" "$fleet_address_engine_east" "$fleet_address_engine_west" "$fleet_address_engine_north"; do
    check "no key reached $address" bash -c "! curl -s -m 5 http://$address/stats | grep -q '\"leaked_key\":true'"
done
