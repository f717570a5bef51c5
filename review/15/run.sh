#!/usr/bin/env bash
# A configuration takes the last tenant and its key away. Later than
# config-apply-ms after its acknowledgement, requests with that key, with a key
# that no configuration held and without a key run at a worker. Exits with 1 if
# so, 0 if none does, 2 if it couldn't run. With TROUBLE=0 the configuration
# takes away one of two tenants.
source "$(dirname "${BASH_SOURCE[0]}")/../fleet-3.sh"
add_core a 11 z1 r1; add_core b 12 z1 r1; add_core c 13 z2 r2
add_core d 14 z2 r2; add_core e 15 z3 r3
add_front f 21 z1 r1; add_front g 22 z2 r2
start_nodes
start_worker w1 101 desk z1
tenant() {
    echo "{\"name\":\"$1\",\"api-keys\":[\"key-of-$1\"],\"priority\":1,
  \"unit\":\"tokens\",\"plain-tokens\":200,\"rate-per-s\":0,\"burst\":0,
  \"home-regions\":[]}"
}
config() { # VERSION TENANTS
    cat <<JSON
{"version":$1,
 "routes":[{"name":"orders","host":"desk.example","path-prefix":"/orders/",
  "kind":"unsafe","timeout-ms":1200,"target-latency-ms":400,"priority":2,
  "service":"desk","max-attempts":1,"public":false,"sticky":false,
  "resumable":false,"home-regions":[]}],
 "services":[{"name":"desk","health-path":"/healthz","max-conns":96,
  "protocol":"h1","tls":false,"cold-start-s":0.0,"cold-per-s":0.0}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,
  "header-timeout-ms":3000,"idle-timeout-ms":15000},
 "tenants":[$2]}
JSON
}
others=""
[ "$trouble" = 1 ] || others=$(tenant office)
config 3 "$(tenant shop)${others:+,}$others" >"$dir/config-3.json"
config 4 "$others" >"$dir/config-4.json"
put "$dir/config-3.json" || cant_run "no configuration"
order=(--host desk.example --path /orders/1)
wait_served f "${order[@]}" --key key-of-shop || cant_run "no service"
sleep 6
[ "$(calls f "${order[@]}" --key key-of-nobody --prefix early)" = "401:1 " ] ||
    cant_run "an unknown key was not refused before"

put "$dir/config-4.json" || cant_run "the second configuration"
sleep 4
note "requests from here on are sent later than config-apply-ms after it"
calls f "${order[@]}" --key key-of-shop --count 4 --prefix dropped
calls f "${order[@]}" --key key-of-nobody --count 4 --prefix never
calls f "${order[@]}" --count 4 --prefix without
ran=$(grep -cE "w1 runs .*id=(dropped|never|without)-" "$record")
note "requests that ran without a valid key: $ran"
echo "requests that ran without a valid key: $ran"
[ "$ran" -eq 0 ] || exit 1
exit 0
