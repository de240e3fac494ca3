#!/usr/bin/env bash
# Builds the stand-ins of review/11 to review/15 into target/review-3, after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review-3
sources=(
    review/world-3/*.cc
    standins/executor/rawhttpserver.cpp
    standins/cloud/keyedstore.cpp
    standins/cloud/leasedworker.cpp
)
g++ -std=c++20 -O1 -DASIO_STANDALONE -DTOML_EXCEPTIONS=1 -I. -Istandins -Istandins/executor "${sources[@]}" \
    target/libmarjoramfold.a -lspdlog -lfmt -lglog -lgflags -lhttp_parser -lcurl -lcrypto -lprometheus-cpp-core -lpthread \
    -o target/review-3/world-3
