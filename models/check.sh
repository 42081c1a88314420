#!/usr/bin/env bash
# Explores the Promela models and their broken variants. A model must hold in a complete search; a variant must yield a
# counterexample. Each search is bounded by memory, depth and processor time, which does not depend on the load of the machine. A search
# that meets a bound does not count.
set -uo pipefail
models="$(cd "$(dirname "$0")" && pwd)"
memory=4000 # MB for each search
depth=100000
limit=60 # seconds of processor time for each search
searches=4 # at a time
if ! command -v spin >/dev/null; then
  if ! apt-get install -y spin >/dev/null 2>&1 || ! command -v spin >/dev/null; then
    echo "models: spin is missing and 'apt-get install -y spin' failed" >&2
    exit 1
  fi
fi
folder="$(mktemp -d)"
trap 'rm -rf "$folder"' EXIT
rows=0

# check MODEL holds|fails [MACRO...] starts one search in the background.
check() {
  while [ "$(jobs -rp | wc -l)" -ge "$searches" ]; do wait -n; done
  rows=$((rows + 1))
  search "$@" >"$folder/row-$rows" &
}

# search explores one variant and prints its row.
search() {
  local model="$1" expected="$2" result states
  shift 2
  local work="$folder/$model-$*"
  mkdir "$work"
  if ! (cd "$work" && spin -a "${@/#/-D}" "$models/$model.pml" >spin.txt 2>&1 &&
    gcc -w -O2 -DSAFETY -DMEMLIM="$memory" -o pan pan.c 2>gcc.txt); then
    result="not built"
    cat "$work"/*.txt >&2
  else
    (cd "$work" && ulimit -S -t "$limit" && exec ./pan -m"$depth" -w23 >out.txt 2>&1) 2>/dev/null
    # A counterexample counts only if it violates an assertion or is a deadlock, and not if the search met a bound.
    if grep -qE '^pan:[0-9]*:? *(assertion violated|invalid end state)' "$work/out.txt"; then
      result="fails"
    elif grep -qE 'max search depth too small|Search not completed|out of memory|VECTORSZ' "$work/out.txt" ||
      ! grep -q 'errors: 0' "$work/out.txt"; then
      result="cut off"
    else
      result="holds"
    fi
  fi
  states="$(awk '/states, stored/ { print $1 }' "$work/out.txt" 2>/dev/null)"
  printf '%-8s %-36s %-9s %-9s %12s%s\n' "$model" "${*:--}" "$expected" "$result" "${states:--}" \
    "$([ "$result" = "$expected" ] || echo '  UNEXPECTED')"
  rm -rf "$work"
}

check batch holds
check config holds
for variant in NO_CREATE_IF_ABSENT NO_TAKEOVER NO_VIEW_AGE NO_CONDITION EARLY_END ACCEPT_BEFORE_RECORD REWRITES_INDEX; do
  check batch fails "$variant"
done
check accept holds
for variant in CLAIM_PROVES RECORD_PROVES DELETE_BY_AGE NO_SEARCH UNCOUNTED; do
  check accept fails "$variant"
done
check results holds
for variant in NO_CREATE_IF_ABSENT NO_READ OWN_COUNT; do
  check results fails "$variant"
done
check reads holds
for variant in MEMORY_ONLY UNNOTICED_TAKEOVER NO_LATE_WINDOW NO_LAST_READ; do
  check reads fails "$variant"
done
check order holds
check order holds IGNORES_TOKEN
check order fails NO_FENCING
for variant in NO_WAIT NO_ORDER_LIMIT NO_LEASE_CHECK; do
  check order fails IGNORES_TOKEN "$variant"
done
for variant in NO_CREATE_IF_ABSENT NO_READ_BACK NO_IDENTITY NOT_MONOTONIC WATCH_ONLY TWO_READS TRUST_LISTING PEER_NOT_SAVED; do
  check config fails "$variant"
done
check once holds
for variant in SEND_BEFORE_CLAIM NO_CREATE_IF_ABSENT NO_READ_BACK RETRY_AFTER_SILENCE NOT_RUN_ON_SILENCE; do
  check once fails "$variant"
done
wait
printf '%-8s %-36s %-9s %-9s %12s\n' model variant expected result states
unexpected=0
for ((n = 1; n <= rows; n++)); do
  cat "$folder/row-$n"
  # A search without a row counts as unexpected.
  [ -s "$folder/row-$n" ] && ! grep -q UNEXPECTED "$folder/row-$n" || unexpected=$((unexpected + 1))
done
echo "$unexpected unexpected results of $rows"
[ "$unexpected" -eq 0 ]
