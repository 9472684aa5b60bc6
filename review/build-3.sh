#!/bin/sh
# Builds the program that plays the script cases of the third review. The daemon is built by the line of
# the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-3 ./review/_harness3/standin
