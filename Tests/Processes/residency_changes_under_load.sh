#!/usr/bin/env bash
# Guards against work that reaches an upstream in a region which the residency
# rule forbids since the request began: a stream breaks after the change and
# would be resumed there. A control VM is killed right after the change.
. "$(dirname "$0")/common.sh"
start
rule() {
    echo "- {kind: residency, name: moving, regions: [$1]}" >"$fleet_dir/rule.yaml"
    fleet_ctl apply -f "$fleet_dir/rule.yaml"
}
cat >"$fleet_dir/route.yaml" <<'YAML'
- {kind: residency, name: moving, regions: [east, north]}
- {kind: route, name: moving, type: inference, model: moving, upstream_role: engine, residency: moving, deadline: 90s}
YAML
check_soon 20 "the route is declared" fleet_ctl apply -f "$fleet_dir/route.yaml"
fleet_upstream breaking "$fleet_engine" 2 --models=moving --token_ms=1500 --break_after=10
one_token() { [ "$(fleet_tokens=1 status_of "$1" moving)" = 200 ]; }
check_soon 30 "the breaking engine is known to v3" one_token 3
calls_of() { curl -s -m 5 "http://$1/stats" | grep -o '"calls":[0-9]*' | cut -d: -f2; }

fleet_streamed=true fleet_tokens=16 fleet_chat 3 moving -N -m 90 >"$fleet_dir/stream" &
stream_pid=$!
check_soon 20 "the stream runs" grep -q '"content"' "$fleet_dir/stream"
# The engine that could resume it comes only now, so that the stream did not
# begin there.
fleet_upstream second "$fleet_engine" 2 --models=moving
check_soon 10 "the second engine runs" calls_of "$fleet_address_second"
version=$(rule north | sed -n 's/^applied at version //p')
check "the rule now forbids region east (version $version)" [ -n "$version" ]
# v3 runs the stream and is no control VM.
victim=v5
[ "$(leader_vm)" != v5 ] || victim=v4
fleet_kill KILL "$victim"
fleet_reap "$victim"
check_soon 12 "the rule is in force at v3" version_is 3 "$version"
refuses() { [ "$(fleet_tokens=1 status_of "$1" moving)" = 403 ]; }
check_soon 12 "v3 refuses new requests of the route" refuses 3
at_change=$(calls_of "$fleet_address_second")
check "the stream still runs when the rule is in force" kill -0 "$stream_pid"
wait "$stream_pid"
tail -n 3 "$fleet_dir/stream"
check "no upstream in the forbidden region got the broken stream" [ "$(calls_of "$fleet_address_second")" -eq "$at_change" ]
check "the stream did not end as if it were whole" bash -c '! grep -q DONE "$1"' _ "$fleet_dir/stream"
