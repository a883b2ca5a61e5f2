#!/usr/bin/env bash
# Exit 1: the rule was broken; 0: it held; 2: the case could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=target/review-3/case-$(basename "$here")
[ -x "$program" ] || { echo "build the deploy file, then review/build-3.sh"; exit 2; }
timeout -k 5 110 "$program" "$here"
code=$?
[ "$code" = 0 ] || [ "$code" = 1 ] || code=2
exit "$code"
