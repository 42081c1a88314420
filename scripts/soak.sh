#!/usr/bin/env bash
# Runs the randomised fault tests of batch jobs and of non-idempotent requests with new seeds and prints each seed.
# Usage: scripts/soak.sh [rounds] [runs per round]
set -euo pipefail
cd "$(dirname "$0")/.."
rounds="${1:-5}"
checks="${2:-500}"
for ((i = 0; i < rounds; i++)); do
  seed="$(od -An -N6 -tu8 /dev/urandom | tr -d ' ')"
  echo "seed $seed"
  go test ./core/batch ./core/once -run '^TestRandom' -count=1 -v -timeout 20m \
    -rapid.seed="$seed" -rapid.checks="$checks" | grep -v '^=== '
done
