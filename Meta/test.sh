#!/usr/bin/env bash
# Set-up, build and all tests of the release build.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/setup.sh
Meta/build.sh release
Meta/model-check.sh
ctest --test-dir Build/release --output-on-failure -j 4
