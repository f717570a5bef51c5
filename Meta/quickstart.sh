#!/usr/bin/env bash
# Set-up, build and a demonstration on this machine: three regions with nine
# VMs, a streamed answer, a booking that runs once, a withdrawn key and an
# orderly shutdown. Ends every process that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/setup.sh
Meta/build.sh release >/dev/null
. Meta/local-fleet.sh
fleet_init
trap fleet_stop EXIT

step() { printf '\n== %s\n' "$*"; }

step "Start nine VMs in three regions, three engines and a booking service"
fleet_start >/dev/null
fleet_ctl status | head -n 5

step "Ask any VM which VM to use from region west"
entry=$(curl -s "http://$(fleet_http 1)/v1/entry-vms?region=west&data_center=west-b")
echo "$entry" | head -c 200; echo
address=$(echo "$entry" | grep -o '"address":"[^"]*"' | head -n 1 | cut -d'"' -f4)
n=$(echo "$address" | sed 's/.*\.\([0-9]*\):.*/\1/')

step "A streamed answer through $address"
fleet_streamed=true fleet_chat "$n" quote-writer

step "A booking, and the same booking again through another region"
fleet_book "$n" order-17; echo
fleet_book 9 order-17 -i | grep -iE 'replayed|booking'; echo
echo "the service ran: $(curl -s "http://$fleet_address_booking_east/stats")"

step "A route whose data must stay in region east, asked in region west"
fleet_chat 5 ding-labeler; echo

step "Withdraw the key at one VM; every VM refuses it within seconds"
fleet_ctl key withdraw shop-1
refused() { [ "$(fleet_chat "$1" quote-writer -o /dev/null -w '%{http_code}')" = 401 ]; }
for n in 1 2 3 4 5 6 7 8 9; do
    fleet_wait 10 refused "$n"
    echo "v$n refuses the key"
done

step "Orderly shutdown of the leader"
leader=$(fleet_ctl status | sed -n 's/^leader: //p')
fleet_kill TERM "$leader"
fleet_reap "$leader"
echo "$leader exited with $fleet_exit_code"
[ "$fleet_exit_code" -eq 0 ]

step "Done: all of it worked"
