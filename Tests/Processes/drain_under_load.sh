#!/usr/bin/env bash
# Guards against a shutdown that cuts a running stream, and against a VM that
# stays in the directory while it leaves.
. "$(dirname "$0")/common.sh"
start
# Long answers: 16 tokens of the engine at 100 ms each.
fleet_upstream slow-engine "$fleet_engine" 1 --models=long-review --token_ms=100 --capacity=64
cat >"$fleet_dir/long.yaml" <<'YAML'
- {kind: route, name: reviews, type: inference, model: long-review, upstream_role: engine, priority: batch, deadline: 60s}
YAML
fleet_ctl apply -f "$fleet_dir/long.yaml" >/dev/null
check_soon 20 "the slow engine serves" has_status 1 long-review 200

streams=12
for ((i = 1; i <= streams; i++)); do
    fleet_streamed=true fleet_tokens=16 fleet_chat 1 long-review >"$fleet_dir/stream-$i" &
    pids[i]=$!
done
sleep 0.5
fleet_kill TERM v1
absent() { ! curl -s "http://$(fleet_http 2)/v1/entry-vms" | grep -q '"v1"'; }
check_soon 10 "the leaving VM is gone from the directory" absent
for ((i = 1; i <= streams; i++)); do
    wait "${pids[i]}"
done
whole=0
for ((i = 1; i <= streams; i++)); do
    tokens=$(grep -c '"content"' "$fleet_dir/stream-$i")
    if [ "$tokens" -eq 16 ] && grep -q '\[DONE\]' "$fleet_dir/stream-$i"; then
        whole=$((whole + 1))
    fi
done
check "all streams are whole ($whole of $streams)" [ "$whole" -eq "$streams" ]
fleet_reap v1
check "the process ended in order (exit code $fleet_exit_code)" [ "$fleet_exit_code" -eq 0 ]
check_soon 20 "the others serve" has_status 2 quote-writer 200
