#!/bin/sh
# Builds the stand-ins and clients of the script cases of review 3, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -tags review3 -o target/review-3/ ./review/lab3
