# Shared by the tests of this folder.
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
. Meta/local-fleet.sh
fleet_init
failures=0

finish() {
    if [ "$failures" -ne 0 ]; then
        echo "logs of the fleet:"
        tail -q -n 4 "$fleet_dir"/*.log
    fi
    fleet_stop
    [ "$failures" -eq 0 ] || exit 1
}
trap finish EXIT

# check TEXT COMMAND...: counts a failure unless the command succeeds.
check() {
    local text=$1
    shift
    if "$@"; then
        echo "ok: $text"
    else
        echo "FAILED: $text"
        failures=$((failures + 1))
    fi
}

# check_soon SECONDS TEXT COMMAND...: the command has to succeed in time.
check_soon() {
    local seconds=$1 text=$2
    shift 2
    check "$text" fleet_wait "$seconds" "$@"
}

# start ARGUMENT...: a fleet with its configuration, or the end of the test.
start() {
    if ! fleet_start "$@" >/dev/null; then
        echo "FAILED: the fleet did not start"
        failures=1
        exit 1
    fi
}

status_of() { fleet_chat "$1" "$2" -o /dev/null -w '%{http_code}'; }
has_status() { [ "$(status_of "$1" "$2")" = "$3" ]; }
book_status() { fleet_book "$1" "$2" -o /dev/null -w '%{http_code}'; }
books_with() { [ "$(book_status "$1" "$2")" = "$3" ]; }
leader_vm() { fleet_ctl status 2>/dev/null | sed -n 's/^leader: //p'; }
has_leader() { [ -n "$(leader_vm)" ]; }
config_version() { fleet_ctl status 2>/dev/null | sed -n 's/^version: //p'; }
# runs_of KEY: how often the booking service ran it.
runs_of() {
    curl -s -m 5 "http://$fleet_address_booking_east/stats" |
        grep -o "\"$1\":[0-9]*" | cut -d: -f2 | grep . || echo 0
}
# version_at N: the configuration in force at VM number N.
version_at() {
    curl -s -m 5 "http://$(fleet_http "$1")/metrics" |
        sed -n 's/^hyssoploft_config_version //p'
}
version_is() { [ "$(version_at "$1")" = "$2" ]; }
# control_admins VM...: admin addresses of the control VMs but for those named.
control_admins() {
    local out= vm
    for vm in "${fleet_voters[@]}"; do
        [[ " $* " == *" $vm "* ]] || out+=${out:+,}$(fleet_admin "${vm#v}")
    done
    echo "$out"
}
