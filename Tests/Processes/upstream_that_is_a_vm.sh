#!/usr/bin/env bash
# Guards against a request that circles between VMs: two upstreams are
# announced under the addresses of two VMs, so that each VM sends the call to
# the other one, while a third VM is paused.
. "$(dirname "$0")/common.sh"
start
cat >"$fleet_dir/mirror.yaml" <<'YAML'
- {kind: upstream_role, name: mirror}
- {kind: route, name: mirror, type: service, path_prefix: /mirror, upstream_role: mirror, open: true, deadline: 5s}
YAML
fleet_ctl apply -f "$fleet_dir/mirror.yaml" >/dev/null
sequence=0
# announce ID N: an upstream of v1's region whose address is that of VM N.
announce() {
    curl -sf -m 5 -o /dev/null "http://$(fleet_http 1)/upstreams/v1/announce" \
        -d "{\"id\":\"$1\",\"address\":\"$(fleet_http "$2")\",\"role\":\"mirror\",\"region\":\"east\",\"data_center\":\"east-a\",\"capacity\":8,\"incarnation\":1,\"sequence\":$sequence}"
}
announce_both() {
    sequence=$((sequence + 1))
    announce mirror-1 1
    announce mirror-2 2
}
fleet_kill STOP v9
# requests N: how many calls of plain services VM N has ended.
requests() {
    curl -s -m 5 "http://$(fleet_http "$1")/metrics" |
        awk '/^hyssoploft_requests_total\{kind="service"/ { n += $2 } END { print n + 0 }'
}
mirror() { curl -s -m 15 "http://$(fleet_http "$1")/mirror" >"$fleet_dir/mirror-answer"; }
announce_both
sleep 2
before=$(($(requests 1) + $(requests 2)))
for ((i = 0; i < 3; i++)); do
    announce_both
    mirror 1
done
sleep 1
after=$(($(requests 1) + $(requests 2)))
cat "$fleet_dir/mirror-answer"
echo
# A call is one request at its entry VM and one for each of at most three
# attempts at an upstream.
check "three calls did not circle ($((after - before)) requests at two VMs)" [ $((after - before)) -le 12 ]
check "v1 serves other calls" has_status 1 quote-writer 200
check "v2 serves other calls" has_status 2 quote-writer 200
