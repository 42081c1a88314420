#!/usr/bin/env bash
# Builds the program that the scripts of the cases start: their stand-ins and the steps of each case. Needs no network.
set -eu
cd "$(dirname "$0")/lab"
go build -o ../../target/review/lab .
