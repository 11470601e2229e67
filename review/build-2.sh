#!/usr/bin/env bash
# Builds what the scripts of cases 4 and later start beside dw-node: the stand-ins of the platform, its workers, the operator
# and the clients, with the project's own stand-in of the platform, in one program.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/scene
