#!/usr/bin/env bash
# Checks every specification in Specifications/ with Spin: NAME.pml as it is
# must hold over its whole state space, and with each switch listed in
# NAME.switches (one macro a line) Spin must find a violation. The search is
# exhaustive and bounded in memory, so that the verdict is always the same.
set -euo pipefail
cd "$(dirname "$0")/.."
top=$(pwd)
memory_mib=${HYSSOPLOFT_SPIN_MIB:-3000}
depth=${HYSSOPLOFT_SPIN_DEPTH:-1000000}
failed=0

# check NAME SWITCH: prints holds, violated or error.
check() {
    local dir
    dir=$(mktemp -d)
    (
        cd "$dir"
        spin -a ${2:+-D"$2"} "$top/Specifications/$1.pml" >spin.log 2>&1 &&
            gcc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM="$memory_mib" -o pan pan.c &&
            ./pan -m"$depth" >pan.log 2>&1
        if grep -q 'errors: 0' pan.log 2>/dev/null &&
            ! grep -qE 'max search depth too small|out of memory|memory bound' pan.log; then
            echo holds
        elif grep -qE 'assertion violated|invalid end state' pan.log 2>/dev/null; then
            echo violated
        else
            tail -n 5 spin.log pan.log >&2 2>/dev/null
            echo error
        fi
    ) || true
    rm -rf "$dir"
}

for file in Specifications/*.pml; do
    [ -e "$file" ] || continue
    name=$(basename "$file" .pml)
    verdict=$(check "$name" "")
    echo "model $name: $verdict"
    [ "$verdict" = holds ] || failed=1
    [ -e "Specifications/$name.switches" ] || continue
    while read -r switch; do
        [ -n "$switch" ] || continue
        verdict=$(check "$name" "$switch")
        echo "model $name with $switch: $verdict"
        [ "$verdict" = violated ] || failed=1
    done <"Specifications/$name.switches"
done
exit "$failed"
