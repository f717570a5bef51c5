#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need.
set -euo pipefail
cd "$(dirname "$0")"
missing=()
while read -r package; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
        grep -q 'install ok installed' || missing+=("$package")
done <packages.txt
[ ${#missing[@]} -eq 0 ] && exit 0
sudo=()
[ "$(id -u)" -eq 0 ] || sudo=(sudo)
export DEBIAN_FRONTEND=noninteractive
"${sudo[@]}" apt-get update -q
"${sudo[@]}" apt-get install -y -q --no-install-recommends "${missing[@]}"
