#!/usr/bin/env bash
# A control node acknowledges a worker's Deregister and loses power at once.
# Later than drain-ms after that, with all machines in touch again, orders still
# reach that worker. Exits with 1 if so, 0 if none does, 2 if it couldn't run.
# With TROUBLE=0 the node is not killed.
source "$(dirname "${BASH_SOURCE[0]}")/../fleet-3.sh"
add_core a 11 z1 r1; add_core b 12 z1 r1; add_core c 13 z2 r2
add_core d 14 z2 r2; add_core e 15 z3 r3
add_front f 21 z1 r1; add_front g 22 z2 r2
start_nodes
start_worker w1 101 desk z1 --serve-ms 300
start_worker w2 102 desk z2 --serve-ms 300
put "$case_dir/config-1.json" || cant_run "no configuration"
order=(--host desk.example --path /orders/1 --key key-of-shop-0000001)
wait_served f "${order[@]}" || cant_run "no service"
sleep 6
# Both workers are known and used.
calls f "${order[@]}" --count 24 --prefix before >/dev/null
grep -q "w1 runs .*before-" "$record" || cant_run "w1 was never used"

victim=a
if [ "$trouble" = 1 ]; then
    tell_worker w1 deregister "$(control_of $victim)" "${pids[$victim]}"
else
    tell_worker w1 deregister "$(control_of $victim)"
fi
sleep 0.9
grep -q "w1 Deregister to .* answered 200" "$record" || cant_run "no acknowledgement"
if [ "$trouble" = 1 ]; then
    wait "${pids[$victim]}" 2>/dev/null
    start_node $victim
    note "platform: $victim started again"
fi
# contact-ms after the start of the core node, all machines are in touch. The
# worker still serves: drain-ms and "at times many seconds" more.
sleep 6
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
