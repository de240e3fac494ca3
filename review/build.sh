#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. Run it after the build command of deploy/system.toml, whose libraries it links.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -f target/libmarjoramfold.a ]; then
    echo "run the build command of deploy/system.toml first" >&2
    exit 2
fi
mkdir -p review/.build
g++ -std=c++20 -O2 -Wall -Wextra -DASIO_STANDALONE -I. \
    review/world/*.cc standins/executor/rawhttpserver.cpp \
    target/libmarjoramfold.a -lcurl -lcrypto -lfmt -lhttp_parser -lglog -lgflags -lspdlog -lprometheus-cpp-core -lpthread \
    -o review/.build/world
