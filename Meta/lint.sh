#!/usr/bin/env bash
# Runs clang-tidy over every source file of the product, or over the files
# given. Needs a configured build tree (Meta/build.sh makes one).
# A file whose inputs have not changed since it last passed is skipped: the
# record is keyed by the preprocessed text and the configuration.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${HYSSOPLOFT_BUILD:-Build/release}
cache=${HYSSOPLOFT_LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/hyssoploft-lint}
mkdir -p "$cache"
export build cache
config=$(sha256sum .clang-tidy | cut -c1-16)
export config
lint_one() {
    key=$(clang++-14 -std=c++20 -E -P -I Libraries -I . -w "$1" 2>/dev/null | sha256sum | cut -c1-40)
    mark=$cache/$config-$key
    [ -e "$mark" ] && return 0
    out=$(clang-tidy -quiet -p "$build" \
        --extra-arg=-Wno-unknown-warning-option "$1" 2>/dev/null) || { echo "$out"; return 1; }
    : >"$mark"
}
export -f lint_one
if [ $# -gt 0 ]; then files=("$@"); else
    mapfile -t files < <(git ls-files --cached --others --exclude-standard \
        'Libraries/*.cpp' 'Services/*.cpp' 'Utilities/*.cpp' 'platform/*.cpp')
fi
printf '%s\n' "${files[@]}" |
    xargs -r -P "${HYSSOPLOFT_JOBS:-$(nproc)}" -I{} bash -c 'lint_one {}'
echo "linter: ${#files[@]} files clean"
