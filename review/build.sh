#!/bin/sh
# Builds the stand-ins of all cases. The build line of deploy/system.toml builds the daemon.
set -eu
cd "$(dirname "$0")/.."
exec go build -buildvcs=false -o target/review-standin ./review/_harness/standin
