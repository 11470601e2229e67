#!/usr/bin/env bash
# Builds the stand-ins and the runner of the review's cases into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review/ ./review/runner
