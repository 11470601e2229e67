#!/usr/bin/env bash
# Builds the stand-in that the scripts of review/9 to review/13 start, to target/review-3/. The nodes are those of the
# deploy file's build: target/dw-node.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -o target/review-3/ ./review/platform3
