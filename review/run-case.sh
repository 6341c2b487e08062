#!/usr/bin/env bash
# Runs a case: run-case.sh NAME FOLDER. Ends all processes that it started.
set -uo pipefail
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
for program in target/release/lentil-site target/review/standin; do
    [ -x "$program" ] || { echo "$program has not been built" >&2; exit 2; }
done
REVIEW_SCRATCH=$(mktemp -d) || exit 2
export REVIEW_SCRATCH

clean_up() {
    kill "$standin" 2>/dev/null
    while read -r id; do
        grep -qs lentil-site "/proc/$id/cmdline" && kill -KILL "$id" 2>/dev/null
    done < <(cat "$REVIEW_SCRATCH/ids" 2>/dev/null)
    [ -n "${KEEP:-}" ] || rm -rf "$REVIEW_SCRATCH"
}

target/review/standin "$1" "$folder" &
standin=$!
trap clean_up EXIT
trap 'exit 2' INT TERM
wait "$standin"
