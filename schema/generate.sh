#!/usr/bin/env bash
# Generates pkg/wire/wire.gen.go and pkg/settings/settings.gen.go from the schemas in this folder.
set -euo pipefail
cd "$(dirname "$0")/.."
generate() { (cd tools && go tool go-jsonschema --only-models --tags json -p "$1" -o "../pkg/$1/$1.gen.go" "../schema/$1.json"); }
generate wire
generate settings
gofmt -w pkg/wire pkg/settings
