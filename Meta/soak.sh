#!/usr/bin/env bash
# Plays the fault soak with many seeds: Meta/soak.sh FIRST COUNT [OPTION...].
# Seeds that ever failed are in Tests/Soak/seeds.txt and are played first.
# SOAK_JOBS runs are played at the same time.
set -euo pipefail
cd "$(dirname "$0")/.."
first=${1:?first seed}
count=${2:?number of seeds}
shift 2
build=${HYSSOPLOFT_BUILD:-Build/release}
{
    sed -n 's/^\([0-9][0-9]*\).*/\1/p' Tests/Soak/seeds.txt
    seq "$first" $((first + count - 1))
} | xargs -P "${SOAK_JOBS:-3}" -I SEED sh -c '
    out=$("$@" --seed=SEED 2>&1) && echo "$out" | tail -1 || {
        echo "seed SEED failed"
        echo "$out" | tail -25
        exit 1
    }' soak "$build/Tests/Soak/soak" \
    --program="$build/Services/hyssoploft/hyssoploft" "$@"
