#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. Needs the build of the deploy
# file, whose libraries it links. Leaves its program in target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
sources=(review/standin/*.cpp tests/support/hosted_{member,platform,proxy,server,store}.cpp tests/support/process.cpp)
objects=()
pids=()
for source in "${sources[@]}"; do
    name="$(basename "$source")"
    object="target/review/${name%.*}.o"
    objects+=("$object")
    g++ -std=c++20 -O1 -DBOOST_ASIO_NO_DEPRECATED -DZINNIAHUB_BINARY='"target/zinniahub"' \
        -Iinclude -Isrc -I. -Itests -Ireview/standin -c "$source" -o "$object" &
    pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
g++ -o target/review/cases "${objects[@]}" target/libzinniahub_app.a target/libzinniahub.a \
    -lfmt -lssl -lcrypto -lpthread
