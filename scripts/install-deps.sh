#!/usr/bin/env bash
# Installs everything that the build and the tests need on a bare Debian 12 machine.
set -euo pipefail

packages=(
    g++ cmake ninja-build ccache make git curl jq
    clang-format clang-tidy clang-tools
    librestinio-dev libasio-dev libfmt-dev libhttp-parser-dev
    libcurl4-openssl-dev libssl-dev
    libcereal-dev prometheus-cpp-dev libtomlplusplus-dev nlohmann-json3-dev
    libgflags-dev libgoogle-glog-dev libspdlog-dev
    catch2 librapidcheck-dev
)

missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0

export DEBIAN_FRONTEND=noninteractive
run=()
[ "$(id -u)" -eq 0 ] || run=(sudo)
"${run[@]}" apt-get update -qq
"${run[@]}" apt-get install -y -qq "${missing[@]}"
