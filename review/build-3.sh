#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. The program itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go test -c -buildvcs=false -o target/review-third ./review/testdata/third
