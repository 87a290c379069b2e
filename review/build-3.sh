#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. The program itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
GOFLAGS=-buildvcs=false go build -o target/review-third ./review/testdata/third
