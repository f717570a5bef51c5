#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review. Needs the
# packages of deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")"
out=../target/review
mkdir -p "$out"
for source in stand_ins/*.cpp; do
    name=$(basename "$source" .cpp)
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -Wno-mismatched-new-delete -pthread "$source" \
        -o "$out/$name" &
done
for job in $(jobs -p); do wait "$job"; done
