#!/usr/bin/env bash
# Builds the fuzz targets with clang and runs each for a fixed number of
# inputs with a fixed seed: Meta/fuzz.sh [inputs].
set -euo pipefail
cd "$(dirname "$0")/.."
inputs=${1:-200000}
flags="-O1 -g1 -fsanitize=fuzzer-no-link,address,undefined"
flags+=" -fno-sanitize-recover=all -Wno-unknown-warning-option"
CCACHE_BASEDIR=$(pwd)
export CCACHE_BASEDIR CCACHE_NOHASHDIR=1
cmake -S . -B Build/fuzz -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache \
    -DCMAKE_CXX_COMPILER=clang++-14 -DCMAKE_BUILD_TYPE=Debug \
    "-DCMAKE_CXX_FLAGS_DEBUG=$flags" -DHYSSOPLOFT_FUZZ=ON >/dev/null
targets=(fuzz_frame fuzz_membership)
cmake --build Build/fuzz -j "${HYSSOPLOFT_JOBS:-$(nproc)}" \
    --target "${targets[@]}"
for target in "${targets[@]}"; do
    work=$(mktemp -d)
    if ! "Build/fuzz/Tests/Fuzz/$target" -seed=1 -runs="$inputs" -max_len=4096 \
        -print_final_stats=1 -artifact_prefix="$work/" "$work" \
        >"$work.log" 2>&1; then
        tail -n 40 "$work.log"
        echo "fuzz $target: failed; input in $work"
        exit 1
    fi
    echo "fuzz $target: $inputs inputs, no fault"
    rm -rf "$work" "$work.log"
done
