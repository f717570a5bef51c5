#!/usr/bin/env bash
# Formats every C++ file of the repository; with --check it only reports.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
[ "${1:-}" = --check ] && mode=(--dry-run --Werror)
git ls-files --cached --others --exclude-standard '*.cpp' '*.hpp' |
    xargs -r clang-format "${mode[@]}"
