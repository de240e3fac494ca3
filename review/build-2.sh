#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. Run after the build of the deploy file, from any folder.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
g++ -std=c++20 -O1 -DASIO_STANDALONE -DTOML_EXCEPTIONS=1 -I. -Ireview/world-2 \
    review/world-2/*.cc standins/cloud/*.cpp standins/executor/rawhttpserver.cpp \
    target/libmarjoramfold.a \
    -o build-review-2/review-world \
    -lcurl -lcrypto -lfmt -lspdlog -lprometheus-cpp-core -lglog -lgflags -lhttp_parser -lpthread
