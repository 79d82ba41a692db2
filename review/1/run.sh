#!/usr/bin/env bash
# Runs the case "release" of review/standin/cases.cpp; see claim.txt. Needs the build
# of the deploy file and review/build.sh. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/review/cases ] && [ -x target/zinniahub ] || exit 2
timeout -k 5 110 target/review/cases release "$here/record.txt"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
