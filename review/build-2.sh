#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2, after the build line of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/standin2 ./review/_harness2/standin
