#!/usr/bin/env bash
# Guards against new work for an upstream that announced that it leaves, and
# against errors for callers while it does.
. "$(dirname "$0")/common.sh"
start
fleet_upstream engine-east-2 "$fleet_engine" 2 --models=quote-writer
calls() { curl -s -m 5 "http://$fleet_address_engine_east_2/stats" | grep -o '"calls":[0-9]*' | cut -d: -f2; }
gets_work() {
    fleet_chat 1 quote-writer -o /dev/null
    [ "$(calls)" -gt 0 ]
}
check_soon 30 "the second engine gets work" gets_work

incarnation=$(curl -s -m 5 "http://$fleet_address_engine_east_2/stats" | grep -o '"incarnation":[0-9]*' | cut -d: -f2)
leave() {
    curl -sf -m 5 "http://$(fleet_http 3)/upstreams/v1/leave" \
        -d "{\"id\":\"engine-east-2\",\"incarnation\":$incarnation}"
}
# The engine itself goes on renewing: leaving is final for the incarnation.
check "the leave message is accepted by a VM that the engine never met" leave
sleep 4
settled=$(calls)
failed=0
for ((i = 0; i < 45; i++)); do
    has_status $((i % 9 + 1)) quote-writer 200 || failed=$((failed + 1))
done
check "no call reached the leaving upstream" [ "$(calls)" -eq "$settled" ]
check "no caller got an error" [ "$failed" -eq 0 ]
