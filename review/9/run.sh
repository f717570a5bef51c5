#!/usr/bin/env bash
# Workers answer some requests with a status that has no registered name.
# Whether the client gets the worker's status.
here=$(cd "$(dirname "$0")" && pwd)
# 0: the same without the disruption.
trouble=${TROUBLE:-1}
. "$here/../fleet-2.sh"
start_fleet
start_worker desk-1 bench-desk dobrogea
start_worker desk-2 bench-desk transilvania
start_worker desk-3 bench-desk muntenia
configure "$(route slot-book unsafe 1 bench-desk 2500),
$(route board-status safe 2 bench-desk 2500)"

request front-1 POST /slot-book/first -d 'slot=1'
[ "$status" = 200 ] || { note "not served before"; review_end 2; }
if [ "$trouble" = 0 ]; then
    statuses=(200 500 502 504 507)
else
    statuses=(520 529 530 561 299)
fi
# book VM TARGET: one request on a connection of its own, whose answer is read
# as bytes.
book() {
    new_id
    printf '%s\r\n' "POST $2 HTTP/1.1" 'Host: desk.example' \
        "Hyssoploft-Request-Id: $id" 'Hyssoploft-Deadline-Ms: 2500' \
        'Hyssoploft-Key: i9n73hh2b9wu3fexd9dn' 'Connection: close' \
        'Content-Length: 6' '' | cat - <(printf 'slot=2') |
        raw "$1" 3 >"$work/raw"
    first=$(head -n 1 "$work/raw" | tr -d '\r\0')
    stamps=$(grep -aci '^hyssoploft-server-stamp:' "$work/raw")
    ran=no
    ran "$id" && ran=yes
    note "client $1 POST $2 id=$id ran=$ran answer=\"$first\" stamps=$stamps"
}

wrong=0
for it in "${statuses[@]}"; do
    for vm in front-1 front-3; do
        book "$vm" "/slot-book/status/$it/"
        # An answer of the system's own would be sound: it bears no stamp.
        if [ "$stamps" -gt 0 ] && [[ $first != "HTTP/1.1 $it"* ]]; then
            wrong=$((wrong + 1))
        fi
    done
done
broken=0
[ "$wrong" -gt 0 ] && broken=1
note "$wrong answers with a worker's stamp and another status; broken $broken"
review_end $broken
