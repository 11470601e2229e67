#!/usr/bin/env bash
# Generates pkg/wire/wire.gen.go from wire.json and pkg/settings/settings.gen.go from settings.json.
set -euo pipefail
cd "$(dirname "$0")/.."
generate() { (cd tools && go tool go-jsonschema --only-models --tags json -p "$1" -o "../pkg/$1/$1.gen.go" "../schema/$1.json"); }
generate wire
generate settings
gofmt -w pkg/wire pkg/settings
