#!/usr/bin/env bash
# Generates Go types from the JSON schemas. Each line names a schema and the package that owns its types.
# With an argument, writes below that folder instead of the repository root.
set -euo pipefail
cd "$(dirname "$0")/.."
out="${1:-.}"
generator=(go tool -modfile=tools/go.mod go-jsonschema)
generate() {
  mkdir -p "$out/$2"
  "${generator[@]}" --package "$(basename "$2")" --tags json --capitalization ID,JSON,URL \
    --output "$out/$2/$1_schema.go" "schema/$1.json"
  gofmt -w "$out/$2/$1_schema.go"
}
generate fault core/fault
generate inference core/inference
generate configuration core/configuration
generate membership core/membership
generate job core/job
generate openai io/openai
generate objectstore io/objectstore
generate peer core/message
generate settings io/settings
generate instance core/instance
generate lease core/lease
generate burn core/burn
generate preset core/experiment/preset
generate report core/experiment/report
generate capacity core/capacity/slope
generate route core/route
generate backend core/backend
generate work core/work
generate gossip core/gossip
generate platform platform/settings
generate sync io/peersync
