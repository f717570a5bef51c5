#!/usr/bin/env bash
# Guards against a booking that runs twice, or that runs although the refusal
# said "not run", while the leader and entry VMs are killed and callers repeat
# their requests through other VMs and regions.
. "$(dirname "$0")/common.sh"
start

said_not_run() { echo "$1" | grep -q '"not_run":true'; }

keys=24
declare -A answered=()
declare -A not_run=()
killed=()
for ((i = 1; i <= keys; i++)); do
    if [ "$i" = 6 ]; then
        victim=$(leader_vm)
        fleet_kill KILL "$victim"
        killed+=("$victim")
    elif [ "$i" = 14 ]; then
        # A second VM, before the first one is back.
        fleet_kill KILL v9
        killed+=(v9)
    fi
    key=key-$i
    # Two VMs at once and a third one after that, all under the same key.
    fleet_book $((i % 9 + 1)) $key >"$fleet_dir/a" &
    first=$!
    fleet_book $(((i + 4) % 9 + 1)) $key >"$fleet_dir/b"
    wait $first
    for answer in "$(cat "$fleet_dir/a")" "$(cat "$fleet_dir/b")" "$(fleet_book $(((i + 2) % 9 + 1)) $key)"; do
        case $answer in
        *'"booking":'*) answered[$key]+="$answer " ;;
        esac
        said_not_run "$answer" && not_run[$key]=$((${not_run[$key]:-0} + 1))
    done
done

twice=0
lost=0
different=0
for ((i = 1; i <= keys; i++)); do
    key=key-$i
    runs=$(runs_of "$key")
    [ "$runs" -le 1 ] || twice=$((twice + 1))
    if [ -n "${answered[$key]:-}" ] && [ "$runs" -ne 1 ]; then
        lost=$((lost + 1))
    fi
    # Each answer under one key must be the same booking.
    if [ "$(printf '%s\n' ${answered[$key]:-} | sort -u | wc -l)" -gt 1 ]; then
        different=$((different + 1))
    fi
    # All three tries said "not run": then it must not have run.
    if [ "${not_run[$key]:-0}" -ge 3 ] && [ "$runs" -ne 0 ]; then
        lost=$((lost + 1))
    fi
done
check "no booking ran twice" [ "$twice" -eq 0 ]
check "every answered booking ran, and none that all refusals called not run" [ "$lost" -eq 0 ]
check "repeats got the same answer" [ "$different" -eq 0 ]
check "bookings were answered at all (${#answered[@]} of $keys)" [ "${#answered[@]}" -ge 12 ]

for vm in "${killed[@]}"; do
    fleet_vm "${vm#v}"
done
check_soon 30 "bookings work after the restart" books_with 9 after-restart 200
check "the booking after the restart ran once" [ "$(runs_of after-restart)" -eq 1 ]
check "no upstream saw a key" grep -q '"leaked_key":false' <(curl -s "http://$fleet_address_booking_east/stats")
