#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start, into
# Build/review-2. Needs only the compiler; the daemon is built by the line
# `build` of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p Build/review-2
for name in worker call; do
    g++ -std=c++17 -O1 -g1 -Wall -Wextra -pthread \
        -o "Build/review-2/$name" "review/stand_ins_2/$name.cpp"
done
