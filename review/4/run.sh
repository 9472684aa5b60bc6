#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/celerydeckd ] && [ -x target/review-standin ] || { echo "build the deploy file and review/build.sh first" >&2; exit 2; }
exec target/review-standin stale review/4/record.txt
