#!/usr/bin/env bash
# Guards against a limit that refuses a single request of legal size, in calm.
. "$(dirname "$0")/common.sh"
start
head -c 4194304 /dev/zero >"$dir/body"
body_served() {
    [ "$(order -m 8 --data-binary "@$dir/body" "$@")" = 200 ]
}
check "a body of the largest size with its length" body_served
check "the same in chunks" body_served -H 'Transfer-Encoding: chunked'
check "the same after a question" body_served -H 'Expect: 100-continue'
check_vm entry "single bodies"
