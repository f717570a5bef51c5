#!/usr/bin/env bash
# Guards against a stream that goes on after its key was withdrawn, and
# against one that ends although another key began it. The leader dies and
# the VM that took the withdrawal is paused right after it.
. "$(dirname "$0")/common.sh"
start
cat >"$fleet_dir/slow.yaml" <<'YAML'
- {kind: route, name: slow-answers, type: inference, model: slow-answer, upstream_role: engine, deadline: 90s}
YAML
fleet_ctl apply -f "$fleet_dir/slow.yaml" >/dev/null
fleet_upstream slow-east "$fleet_engine" 1 --models=slow-answer --token_ms=1500 --batch_slowdown=0 --capacity=64
fleet_upstream slow-north "$fleet_engine" 8 --models=slow-answer --token_ms=1500 --batch_slowdown=0 --capacity=64
other_key=$(fleet_ctl key create tablets tablets-1 | grep -o 'hyssop_[0-9a-f]*')
one_token() { [ "$(fleet_tokens=1 status_of "$1" slow-answer)" = 200 ]; }
knows_other() { [ "$(fleet_key=$other_key status_of "$1" quote-writer)" = 200 ]; }
callers="1 3 5 8"
for n in $callers; do
    check_soon 30 "v$n reaches a slow engine" one_token "$n"
    check_soon 30 "v$n knows the other key" knows_other "$n"
done

# stream N FILE: sixteen tokens, some 24 s.
stream() { fleet_streamed=true fleet_tokens=16 fleet_chat "$1" slow-answer -N -m 90 >"$2"; }
pids=()
for n in $callers; do
    stream "$n" "$fleet_dir/withdrawn-$n" &
    pids+=($!)
    fleet_key=$other_key stream "$n" "$fleet_dir/kept-$n" &
    pids+=($!)
done
for n in $callers; do
    check_soon 20 "the stream through v$n runs" grep -q '"content"' "$fleet_dir/withdrawn-$n"
done
# v9 takes the withdrawal; it and the leader fail once others have the news.
leader=$(leader_vm)
withdraw() { fleet_admin_list=$(fleet_admin 9) fleet_ctl key withdraw shop-1; }
check "the withdrawal is accepted" withdraw
sleep 1
fleet_kill STOP v9
entry_vm() { [[ " $callers " == *" ${1#v} "* ]]; }
if [ -n "$leader" ] && ! entry_vm "$leader"; then
    fleet_kill KILL "$leader"
    fleet_reap "$leader"
elif [ -n "$leader" ]; then
    # The leader serves callers of this test: it loses its quorum instead.
    for vm in v2 v4 v7; do
        fleet_kill STOP "$vm"
    done
fi
for pid in "${pids[@]}"; do
    wait "$pid"
done
for n in $callers; do
    check "the stream through v$n ended with the reason" grep -q '"reason":"withdrawn_key"' "$fleet_dir/withdrawn-$n"
    check "and without the end marker" bash -c '! grep -q DONE "$1"' _ "$fleet_dir/withdrawn-$n"
    check "the other key's stream through v$n is whole" grep -q DONE "$fleet_dir/kept-$n"
    check_soon 20 "v$n refuses the withdrawn key" has_status "$n" quote-writer 401
done
