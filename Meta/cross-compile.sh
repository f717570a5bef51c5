#!/usr/bin/env bash
# Compiles the sources for another kind of machine, without linking:
# Meta/cross-compile.sh [TARGET [DIRECTORY...]], by default aarch64-linux-gnu
# and the sources of the product. Needs the compiler of that target (Debian's
# g++-aarch64-linux-gnu, or g++-x86-64-linux-gnu on arm64) and a configured
# release build. Headers of libraries are this machine's.
set -euo pipefail
cd "$(dirname "$0")/.."
target=${1:-aarch64-linux-gnu}
shift $(($# > 0))
directories=("$@")
[ $# -gt 0 ] || directories=(Libraries Services Utilities platform)
commands=${HYSSOPLOFT_BUILD:-Build/release}/compile_commands.json
own_headers=/usr/include/$(g++ -dumpmachine)
compiler=$target-g++
command -v "$compiler" >/dev/null || {
    echo "no $compiler" >&2
    exit 2
}
export own_headers compiler
compile_one() { # COMMAND
    local words kept=() word skip=0
    eval "words=($1)" # The commands are quoted for a shell.
    for word in "${words[@]}"; do
        case $word in
        ccache | */c++ | */g++ | -MD) ;;
        -o | -MT | -MF) skip=1 ;;
        *)
            [ "$skip" = 1 ] || kept+=("$word")
            skip=0
            ;;
        esac
    done
    "$compiler" "${kept[@]}" -O0 -g0 -idirafter "$own_headers" -o /dev/null
}
export -f compile_one
pattern=$(IFS='|'; echo "${directories[*]}")
list=$(mktemp)
trap 'rm -f "$list"' EXIT
sed -n 's/^ *"command": "\(.*\)",$/\1/p' "$commands" |
    sed 's/\\\(["\\]\)/\1/g' | grep -E -- "-c $PWD/($pattern)/" >"$list"
xargs -d '\n' -n 1 -P "${HYSSOPLOFT_JOBS:-$(nproc)}" \
    bash -c 'compile_one "$1"' compile_one <"$list"
echo "$target: $(wc -l <"$list") sources compiled"
