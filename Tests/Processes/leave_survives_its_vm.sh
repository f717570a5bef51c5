#!/usr/bin/env bash
# Guards against an acknowledged leave that is lost with the VM that took it: it
# must not acknowledge one that no other VM can know, and one that it
# acknowledged holds although it is killed at once.
. "$(dirname "$0")/common.sh"
start
fleet_upstream engine-east-2 "$fleet_engine" 2 --models=quote-writer
stats() { curl -s -m 5 "http://$fleet_address_engine_east_2/stats"; }
calls() { stats | grep -o '"calls":[0-9]*' | cut -d: -f2; }
gets_work() {
    fleet_chat 1 quote-writer -o /dev/null
    [ "$(calls)" -gt 0 ]
}
check_soon 30 "the second engine gets work" gets_work
incarnation=$(stats | grep -o '"incarnation":[0-9]*' | cut -d: -f2)
# leave N: the status of the answer of VM number N.
leave() {
    curl -s -m 3 -o /dev/null -w '%{http_code}' \
        "http://$(fleet_http "$1")/upstreams/v1/leave" \
        -d "{\"id\":\"engine-east-2\",\"incarnation\":$incarnation}"
}
accepted() { [ "$(leave "$1")" = 200 ]; }

# The engine itself goes on renewing. No other VM can know that it leaves while
# they stand still.
others="1 2 4 5 6 7 8 9"
for n in $others; do fleet_kill STOP "v$n"; done
status=$(leave 3)
check "a leave that no other VM knows is not acknowledged" \
    [ "$status" = 503 ]
[ "$status" != 200 ] || fleet_kill KILL v3
for n in $others; do fleet_kill CONT "v$n"; done
[ "$status" = 200 ] || check_soon 20 "it is acknowledged once they go on" \
    accepted 6
fleet_kill KILL v6
sleep 4
settled=$(calls)
failed=0
for ((i = 0; i < 42; i++)); do
    n=$((i % 7 + 1))
    [ "$n" -lt 6 ] || n=$((n + 1))
    [ "$n" -ne 3 ] || n=9
    has_status "$n" quote-writer 200 || failed=$((failed + 1))
done
check "no call reached the leaving engine" [ "$(calls)" -eq "$settled" ]
check "no caller got an error" [ "$failed" -eq 0 ]
