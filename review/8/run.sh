#!/usr/bin/env bash
# An operator sends one invalid configuration, of a quarter of the size that
# the limits allow, and repeats it as the pages say until it gets a clear
# answer. The platform ends a control VM that uses more than its memory, and
# starts it again. Whether control VMs stay within their memory.
here=$(cd "$(dirname "$0")" && pwd)
# 0: the same without the disruption.
trouble=${TROUBLE:-1}
. "$here/../fleet-2.sh"
memory_mb=256
empty_routes=350000
[ "$trouble" = 0 ] && empty_routes=3
start_fleet
start_worker desk-1 bench-desk dobrogea
configure "$(route slot-book unsafe 1 bench-desk 2500)"

{
    printf '{"version":5,"services":[],"routes":[{}'
    yes ',{}' | head -n $((empty_routes - 1)) | tr -d '\n'
    printf ']}'
} >"$work/invalid.json"
note "an invalid configuration of $(wc -c <"$work/invalid.json") bytes;" \
    "max-body-bytes is 4194304"

declare -A ends=() peak=()
for vm in "${control_vms[@]}"; do
    ends[$vm]=0
    peak[$vm]=0
done

# watch_memory: what the platform does, once. It ends a process above the
# limit and starts it after a second, with its disk and bootstrap: false.
watch_memory() {
    local vm kb
    for vm in "${control_vms[@]}"; do
        kb=$(awk '$1 == "VmRSS:" { print $2 }' "/proc/${pids[$vm]}/status" \
            2>/dev/null) || kb=
        kb=${kb:-0}
        [ "$kb" -gt "${peak[$vm]}" ] && peak[$vm]=$kb
        if [ "$kb" -gt $((memory_mb * 1024)) ]; then
            kill -KILL "${pids[$vm]}"
            wait "${pids[$vm]}" 2>/dev/null
            ends[$vm]=$((ends[$vm] + 1))
            note "platform: $vm used $((kb / 1024)) MB of $memory_mb and was" \
                "ended, ${ends[$vm]} times so far"
            sleep 1
            start_vm "$vm" false
        fi
    done
}

# count_often: how many were ended three times or more, to `often`.
count_often() {
    local vm
    often=0
    for vm in "${control_vms[@]}"; do
        [ "${ends[$vm]}" -ge 3 ] && often=$((often + 1))
    done
}

# The operator: one node after another, ten seconds for a large body, a pause
# that grows to two seconds.
put_status=000
pause=0.2
tries=0
limit=$((SECONDS + 90))
while [ $SECONDS -lt $limit ]; do
    vm=${control_vms[tries % ${#control_vms[@]}]}
    tries=$((tries + 1))
    "$call_program" "${ips[$vm]}:8229" POST /hyssoploft/Config.Put -t 10 \
        -H 'Content-Type: application/json' -f "$work/invalid.json" \
        >"$work/put.status" &
    call=$!
    while kill -0 "$call" 2>/dev/null; do
        watch_memory
        sleep 0.02
    done
    wait "$call"
    put_status=$(cat "$work/put.status")
    note "operator: Config.Put at $vm: ${put_status/000/no answer}"
    [[ $put_status == 4* ]] && break
    count_often
    [ $((2 * often)) -ge ${#control_vms[@]} ] && break
    sleep "$pause"
    pause=$(awk -v p="$pause" 'BEGIN { p *= 2; print (p > 2 ? 2 : p) }')
done

count_often
for vm in "${control_vms[@]}"; do
    note "$vm: highest use seen $((peak[$vm] / 1024)) MB, ended ${ends[$vm]}" \
        "times"
done
broken=0
[ $((2 * often)) -ge ${#control_vms[@]} ] && broken=1
note "the operator's last answer: ${put_status/000/none}; $often of" \
    "${#control_vms[@]} control VMs ended three times or more; broken $broken"
review_end $broken
