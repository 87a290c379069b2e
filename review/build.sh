#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go test -c -buildvcs=false -o target/review-world ./review/testdata/world
