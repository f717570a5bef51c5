#!/usr/bin/env bash
# The first heartbeat of a worker that started behind a cut is held up on its
# way. Meanwhile the worker is told to leave, and another control node
# acknowledges its Deregister. Then the heartbeat arrives. Later than drain-ms
# after the acknowledgement, orders reach that worker. Exits with 1 if so, 0 if
# none does, 2 if it couldn't run. With TROUBLE=0 the heartbeat isn't held up.
source "$(dirname "${BASH_SOURCE[0]}")/../fleet-3.sh"
add_core a 11 z1 r1; add_core b 12 z1 r1; add_core c 13 z2 r2
add_core d 14 z2 r2; add_core e 15 z3 r3
add_front f 21 z1 r1; add_front g 22 z2 r2
start_nodes
start_worker w2 102 desk z2 --serve-ms 300
put "$case_dir/config-1.json" || cant_run "no configuration"
order=(--host desk.example --path /orders/1 --key key-of-shop-0000001)
wait_served f "${order[@]}" || cant_run "no service"
sleep 6

start_worker w1 101 desk z1 --serve-ms 300 --beats 0
sleep 0.3
held_ms=2500
[ "$trouble" = 1 ] || held_ms=0
tell_worker w1 late "$(control_of b)" $held_ms
sleep 1
tell_worker w1 deregister "$(control_of a)"
sleep 4
grep -q "w1 Deregister to .* answered 200" "$record" || cant_run "no acknowledgement"
grep -q "w1 that heartbeat arrived, answered 200" "$record" || cant_run "no heartbeat"
note "orders from here on are sent later than drain-ms after the acknowledgement"
calls f "${order[@]}" --count 24 --prefix after >/dev/null &
pids[after]=$!
# The worker relies on its acknowledgement: its time is over, and it exits.
sleep 0.2
kill -TERM "${pids[worker_w1]}"
note "w1 exits"
wait "${pids[after]}"
late=$(grep -c "w1 runs .*after-" "$record")
lost=$(grep -c "client gets 502 for after-" "$record")
note "orders that reached w1 after its time: $late, lost with it: $lost"
echo "orders that reached w1 after its time: $late, lost with it: $lost"
[ "$late" -eq 0 ] || exit 1
grep -q "w2 runs .*after-" "$record" || cant_run "w2 was not used"
exit 0
