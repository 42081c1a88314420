#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
program=../../target/tarragonwalk
lab=../../target/review-3/lab3
[ -x "$program" ] && [ -x "$lab" ] || exit 2
RECORD=record.txt PROGRAM="$program" exec "$lab" grey
