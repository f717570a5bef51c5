#!/usr/bin/env bash
# Checks what formatter and linter can't see, and prints all findings together:
# head comments, lengths of files and lines, licence banners, order of sources,
# real time in tests, and generated pages that differ from the sources.
set -euo pipefail
cd "$(dirname "$0")/.."
max_lines=600
max_columns=80
findings=$(mktemp)
trap 'rm -f "$findings"' EXIT

mapfile -t code < <(git ls-files --cached --others --exclude-standard \
    '*.cpp' '*.hpp')

# A .cpp begins with its comment; in a .hpp it follows the include guard.
awk -v max="$max_lines" -v columns="$max_columns" '
    function close_file() {
        if (name != "" && !commented)
            print name ": no head comment on the role of the file"
        if (lines > max)
            print name ": " lines " lines, more than " max
    }
    FNR == 1 {
        close_file()
        name = FILENAME
        commented = lines = 0
        head = 1
    }
    { lines = FNR }
    head && /^\/\// { commented = 1; head = 0 }
    head && !/^(#ifndef|#define|#pragma once|$)/ { head = 0 }
    # Characters are counted, not bytes: a byte with the bits 10 at its top
    # continues a character.
    length($0) > columns {
        text = $0
        gsub(/[\200-\277]/, "", text)
        if (length(text) > columns)
            print name ":" FNR ": " length(text) " columns"
    }
    END { close_file() }' "${code[@]}" >>"$findings"

grep -nHiE 'copyright|SPDX-|all rights reserved|licen[cs]ed under' \
    "${code[@]}" | sed 's/^\([^:]*:[0-9]*\):.*/\1: licence banner/' \
    >>"$findings" || true

# Sources and the other lists of one word a line.
mapfile -t lists < <(git ls-files --cached --others --exclude-standard \
    'Libraries/*/CMakeLists.txt' 'Services/*/CMakeLists.txt' \
    'Utilities/*/CMakeLists.txt' 'Tests/*/CMakeLists.txt')
LC_ALL=C awk '
    FNR == 1 { before = "" }
    /^ *[a-z0-9_]+\.cpp\)?$/ {
        name = $1
        sub(/\)$/, "", name)
        if (before != "" && name < before)
            print FILENAME ":" FNR ": " name " is listed after " before
        before = name
        next
    }
    { before = "" }' "${lists[@]}" >>"$findings"

# Process tests, load tools, benchmarks and stand-ins run in real time, and so
# do the sessions over real sockets behind the fixtures of LibGateway and
# LibRelay, whose clock is in Support.
mapfile -t tests < <(printf '%s\n' "${code[@]}" | grep '^Tests/' |
    grep -vE '^Tests/(Processes|StandIns|Fuzz|Load|Scale)/|bench|^Tests/LibGateway/(gateway_fixture|forwarding)\.|^Tests/LibRelay/relay_fixture\.|^Tests/Support/skipping_clock\.')
grep -nHE '(steady|system|high_resolution)_clock::now|sleep_(for|until)|\b(u|nano)?sleep\(|core::system_(clock|random)\b|std::random_device' \
    "${tests[@]}" | sed 's/^\([^:]*:[0-9]*\):\(.*\)/\1: real time or chance:\2/' \
    >>"$findings" || true

# Which of two readings of the clock in one statement comes first is the
# compiler's choice, and differs between kinds of machine.
mapfile -t product < <(printf '%s\n' "${code[@]}" | grep -v '^Tests/')
awk '
    FNR == 1 { readings = 0 }
    {
        sub(/\/\/.*/, "")
        parts = split($0, part, /[;{}]/)
        for (i = 1; i <= parts; i++) {
            if (i > 1)
                readings = 0
            if (readings == 0)
                first = FNR
            text = part[i]
            found = gsub(/(^|[^a-z_])(now|time_left|remaining)\(\)/, "", text)
            if (readings < 2 && readings + found >= 2)
                print FILENAME ":" first ": reads the clock twice"
            readings += found
        }
    }' "${product[@]}" >>"$findings"

# The users' platform has names of its own, which only its adapter knows.
grep -nHE 'Hyssoploft-[A-Z]|beat-addr|Config\.(Put|Get)|Instances\.(Heartbeat|Deregister)|Evacuation\.(Start|End)|kv-total|target-latency-ms|cold-left-ms' \
    $(git ls-files --cached --others --exclude-standard \
        'Libraries/*' 'Services/*' 'Utilities/*') |
    sed 's/^\([^:]*:[0-9]*\):.*/\1: a name of the platform outside platform\//' \
        >>"$findings" || true

Meta/make-manual.sh --check >>"$findings" || true

if [ -s "$findings" ]; then
    cat "$findings"
    echo "style: $(wc -l <"$findings") findings" >&2
    exit 1
fi
echo "style: ${#code[@]} files clean"
