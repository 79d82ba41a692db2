#!/usr/bin/env bash
# Runs the case: 1 if the rule was broken, 0 if it held, 2 if it could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=target/review-2/case-$(basename "$here")
[ -x target/zinniahub ] && [ -x "$program" ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout --kill-after=2 110 "$program" "$folder" "$here/record.txt"
status=$?
case $status in
    0 | 1) exit $status ;;
    *) exit 2 ;;
esac
