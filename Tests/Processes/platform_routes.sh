#!/usr/bin/env bash
# Guards against a build that starts but serves nothing: the deployed roles, in
# two regions, answer one request of each kind of route whole, through an entry
# VM of the upstreams' region and through one of the other region.
. "$(dirname "$0")/common.sh"
. Tests/Processes/platform_fleet.sh
platform_init "2 1" "1 1"
platform_start_all
platform_upstream u-1 desk r1
platform_upstream u-2 desk r1

route() { # NAME KIND RESUMABLE MAX-ATTEMPTS
    echo "{\"name\":\"$1\",\"host\":\"desk.example\",\"path-prefix\":\"/$1/\"," \
        "\"kind\":\"$2\",\"resumable\":$3,\"timeout-ms\":8000," \
        "\"target-latency-ms\":4000,\"gap-target-ms\":2000,\"priority\":1," \
        "\"service\":\"desk\",\"max-attempts\":$4,\"public\":true," \
        "\"home-regions\":[]}"
}
cat >"$fleet_dir/manifest.json" <<JSON
{"version":1,"routes":[
 $(route safe safe false 3),$(route unsafe unsafe false 1),
 $(route stream streaming false 1),$(route resume streaming true 3)],
 "services":[{"name":"desk","health-path":"/healthz","max-conns":96,
  "protocol":"h1","tls":false,"cold-start-s":0.0,"cold-per-s":0.0}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,
  "header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[]}
JSON
check_soon 30 "the configuration is acknowledged" \
    platform_put "$fleet_dir/manifest.json"

# request ENTRY METHOD PATH ID [BODY]: the status goes to `status`, the answer
# to the files `head` and `body`.
request() {
    local data=()
    [ -z "${5:-}" ] || data=(--data-binary "$5")
    status=$(curl -sN -m 12 -X "$2" -o "$fleet_dir/body" \
        -D "$fleet_dir/head" -w '%{http_code}' -H 'Host: desk.example' \
        -H "Hyssoploft-Request-Id: $4" -H 'Hyssoploft-Deadline-Ms: 10000' \
        "${data[@]}" "http://$(platform_entry_address "$1")$3")
}
header() {
    tr -d '\r' <"$fleet_dir/head" | sed -n "s/^$1: //Ip"
}

# reads_through ENTRY: as a caller does, with a new identifier each time.
reads_through() {
    reads=$((${reads:-0} + 1))
    request "$1" GET /safe/first "first-$1-$reads" && [ "$status" = 200 ]
}

events() { # PATH
    local n
    for n in 1 2 3 4 5; do
        printf 'id: %s\ndata: %s part %s\n\n' "$n" "$1" "$n"
    done
}

# answers ENTRY METHOD PATH EXPECTED-FILE [BODY]: one request, answered whole.
# A refusal with 503 says that nothing has run; as callers do, it is repeated
# with a new identifier, twice at most.
answers() {
    local try id
    for try in 1 2 3; do
        id=$1-${3//\//-}-$try
        request "$1" "$2" "$3" "$id" "${5:-}" || {
            echo "no whole answer: curl ends with $?"
            return 1
        }
        [ "$status" = 503 ] || break
        echo "503 at try $try: $(header x-hyssoploft-reason) $(cat "$fleet_dir/body")"
        sleep 0.5
    done
    if [ "$status" != 200 ]; then
        echo "status $status"
        return 1
    fi
    if ! cmp "$fleet_dir/body" "$4"; then
        cat "$fleet_dir/body"
        return 1
    fi
    [ "$(header Hyssoploft-Request-Id)" = "$id" ] || {
        echo "identifier is '$(header Hyssoploft-Request-Id)', not '$id'"
        return 1
    }
    [[ $(header Hyssoploft-Server-Stamp) == u-[12] ]] || {
        echo "signature is '$(header Hyssoploft-Server-Stamp)'"
        return 1
    }
    answered=$id
}

# runs ID: how many calls with this identifier reached upstreams.
runs() { cat "$fleet_dir"/u-[12].log | grep -c " id=$1 "; }
runs_once() { [ "$(runs "$answered")" = 1 ]; }
resumed() { grep -q " id=$answered last=2$" "$fleet_dir"/u-[12].log; }

for entry in "${platform_entry[@]}"; do
    check_soon 30 "$entry is ready" platform_ready "$entry"
    check_soon 20 "$entry reaches the upstreams" reads_through "$entry"
    answered=none
    printf 'GET /safe/1 ' >"$fleet_dir/expected"
    check "$entry: safe" answers "$entry" GET /safe/1 "$fleet_dir/expected"
    printf 'POST /unsafe/1 some bytes' >"$fleet_dir/expected"
    check "$entry: unsafe" \
        answers "$entry" POST /unsafe/1 "$fleet_dir/expected" 'some bytes'
    check "$entry: the unsafe request ran once" runs_once
    events /stream/1 >"$fleet_dir/expected"
    check "$entry: streaming" \
        answers "$entry" POST /stream/1 "$fleet_dir/expected" 'a prompt'
    check "$entry: the stream ran once" runs_once
    events /resume/1 >"$fleet_dir/expected"
    check "$entry: resumable" \
        answers "$entry" POST /resume/1 "$fleet_dir/expected" 'a prompt'
    events /resume/cut >"$fleet_dir/expected"
    check "$entry: resumable, cut off after two events" \
        answers "$entry" POST /resume/cut "$fleet_dir/expected" 'a prompt'
    check "$entry: the stream resumed at another upstream" resumed
done
