#!/usr/bin/env bash
# crowd.sh CROWD...: guards against clients that end an entry VM's process or
# keep ordinary callers from being served, by what they send to a path with a
# route, to one without, and to the address that says ready.
. "$(dirname "$0")/common.sh"
start
for crowd in "$@"; do
    play "$crowd" entry "$entry_ip" 8221 /nowhere
    play "$crowd" entry "$entry_ip" 8224 /hyssoploft/readyz
    path=/orders/one
    [ "$crowd" = slow_readers ] && path=/orders/large
    play "$crowd" entry "$entry_ip" 8221 "$path"
done
