#!/usr/bin/env bash
# Installs the required packages that are missing, and builds into build/. Arguments go to ninja, such as targets.
set -euo pipefail
cd "$(dirname "$0")"

packages=(g++ cmake ninja-build pkg-config libboost-dev libboost-system-dev libboost-coroutine-dev
  libboost-context-dev libwebsocketpp-dev nlohmann-json3-dev libabsl-dev libspdlog-dev
  libcriterion-dev libssl-dev libxxhash-dev openssl util-linux curl)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' ||
    missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  echo "installing: ${missing[*]}"
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
fi

cmake -S . -B build -G Ninja >build-configure.log 2>&1 ||
  { cat build-configure.log; exit 1; }
rm -f build-configure.log
ninja -C build --quiet "$@"
