#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/6 and later, with the project's
# own stand-ins of tests/support, into target/review-2. Run it after the build
# of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Iinclude -Isrc -I. -Itests)
libraries=(target/libzinniahub_app.a target/libzinniahub.a -lfmt -lssl -lcrypto -lpthread)
cases=(6 7 8 9)
support=(hosted_member hosted_platform hosted_proxy hosted_server hosted_store process)

compile() {
    "${CXX:-g++}" "${flags[@]}" -DZINNIAHUB_BINARY='"target/zinniahub"' -c "$1" -o "$2"
}

pids=()
for name in "${support[@]}"; do
    compile "tests/support/$name.cpp" "$out/$name.o" &
    pids+=($!)
done
for number in "${cases[@]}"; do
    compile "review/support-2/case-$number.cpp" "$out/case-$number.o" &
    pids+=($!)
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
objects=()
for name in "${support[@]}"; do
    objects+=("$out/$name.o")
done
for number in "${cases[@]}"; do
    "${CXX:-g++}" "$out/case-$number.o" "${objects[@]}" "${libraries[@]}" -o "$out/case-$number"
done
