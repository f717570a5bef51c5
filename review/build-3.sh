#!/usr/bin/env bash
# Builds the stand-ins of this review's scripts into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
for name in worker client; do
    g++ -std=c++20 -O2 -Wall -Wextra -pthread \
        "review/stand_ins_3/$name.cpp" -o "$out/$name"
done
echo "stand-ins built in $out"
