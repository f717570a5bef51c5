#!/usr/bin/env bash
# Guards against configurations of legal size that end a control VM, because
# what is wrong with them, or their parsed form, takes far more memory than
# their text.
. "$(dirname "$0")/common.sh"
# Of a control VM on the users' platform.
memory_mb=256
max_body_bytes=4194304
version=1

# repeated TEXT: about as often as fits into a body.
repeated() {
    yes "$1" | tr -d '\n' | head -c $((max_body_bytes - 2000)) |
        sed 's/,[^,]*$//'
}

# invalid NAME: a document of nearly the largest size.
invalid() {
    local head="{\"version\":$version,\"services\":[],\"routes\":["
    case $1 in
    empty_routes) printf '%s{}%s]}' "$head" "$(repeated ',{}')" ;;
    empty_accounts) printf '%s],"tenants":[{}%s]}' "$head" "$(repeated ',{}')" ;;
    wrong_entries) printf '%s0%s]}' "$head" "$(repeated ',0')" ;;
    unknown_services)
        printf '%s{"traffic-split":[{}%s]}]}' "$head" \
            "$(repeated ',{"service":"x","weight":1}')"
        ;;
    never_ends) printf '%s{}%s' "$head" "$(repeated ',{"a":[0]}')" ;;
    esac
}

# with_list ENTRY: the configuration of the other tests, and a field of many
# entries that nobody reads.
with_list() {
    config_document "$version" | sed '$ s/}$//'
    printf ',"x":[0%s]}' "$(repeated ",$1")"
}

# answered_at CALL STATUS...: whether the answer to the document has one of
# them.
answered_at() {
    local call=$1 status
    shift
    status=$(curl -s -m 20 -o /dev/null -w '%{http_code}' \
        --data-binary "@$dir/document.json" -H 'Expect:' \
        "http://$control_ip:8229/hyssoploft/$call")
    echo "$(wc -c <"$dir/document.json") bytes, status $status"
    [[ " $* " == *" $status "* ]]
}

answered() { answered_at Config.Put "$@"; }

# check_after NAME: the control VM goes on.
check_after() {
    check_vm control "after $1"
    version=$((version + 1))
    check "$1: a configuration is taken afterwards" put_config "$version"
    check "$1: an ordinary request afterwards" served
}

start
for name in empty_routes empty_accounts wrong_entries unknown_services \
    never_ends; do
    version=$((version + 1))
    invalid "$name" >"$dir/document.json"
    check "$name is refused" answered 400
    check_after "$name"
done
# Other callers of the control VM send JSON too.
for entry in 0 '[0]' '{"a":0}'; do
    printf '{"service":"desk","x":[0%s]}' "$(repeated ",$entry")" \
        >"$dir/document.json"
    check "a heartbeat with a list of $entry is refused" \
        answered_at Instances.Heartbeat/i-9 400
    check "a deregistration with a list of $entry is answered" \
        answered_at Instances.Deregister/i-9 200 400
    check_after "heartbeats with a list of $entry"
done
# Valid, and refused if their parsed form exceeds its bound.
for entry in 0 '[0]' '[[]]' '""' '{"a":0}' '"some longer text"'; do
    version=$((version + 1))
    with_list "$entry" >"$dir/document.json"
    check "a list of $entry is answered" answered 200 400
    check_after "a list of $entry"
done
