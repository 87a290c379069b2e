#!/usr/bin/env bash
# Builds the program of the scripts of cases 6 to 10, with all stand-ins that they start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go test -c -buildvcs=false -o target/review-second ./review/testdata/second
