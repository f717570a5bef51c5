#!/usr/bin/env bash
# Configures and builds one tree: Meta/build.sh [release|address|thread|clang].
# The kind clang is the second compiler: it evaluates operands and arguments
# in the written order where g++ on x86-64 often does not. Its plain char is
# unsigned, that of the sanitizer builds signed, on every kind of machine.
set -euo pipefail
cd "$(dirname "$0")/.."
kind=${1:-release}
case $kind in
release) options=(-DCMAKE_BUILD_TYPE=RelWithDebInfo) ;;
address | thread)
    options=(-DCMAKE_BUILD_TYPE=Debug "-DHYSSOPLOFT_SANITIZE=$kind"
        "-DCMAKE_CXX_FLAGS_DEBUG=-O1 -g1 -fsigned-char")
    ;;
clang)
    options=(-DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_COMPILER=clang++-14
        "-DCMAKE_CXX_FLAGS_DEBUG=-O0 -g1 -funsigned-char")
    ;;
*)
    echo "unknown kind of build: $kind" >&2
    exit 2
    ;;
esac
# Paths relative to the checkout let all work trees share ccache's entries.
CCACHE_BASEDIR=$(pwd)
export CCACHE_BASEDIR CCACHE_NOHASHDIR=1
cmake -S . -B "Build/$kind" -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache \
    "${options[@]}" >"/dev/null"
cmake --build "Build/$kind" -j "${HYSSOPLOFT_JOBS:-$(nproc)}"
