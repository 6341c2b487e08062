#!/bin/sh
# Runs a case of the second review: run-case-2.sh NAME FOLDER. Ends with 1 if the rule was
# broken, 0 if it held, 2 if the case could not run. Ends all processes that it started.
set -u
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
for program in target/release/lentil-site target/review-2/standin; do
    [ -x "$program" ] || { echo "$program has not been built" >&2; exit 2; }
done
REVIEW_SCRATCH=$(mktemp -d) || exit 2
export REVIEW_SCRATCH

clean_up() {
    kill "$standin" 2>/dev/null
    # The stand-in ends these itself, unless it was killed.
    for id in $(cat "$REVIEW_SCRATCH/ids" 2>/dev/null); do
        grep -qs lentil-site "/proc/$id/cmdline" && kill -KILL "$id" 2>/dev/null
    done
    [ -n "${KEEP:-}" ] || rm -rf "$REVIEW_SCRATCH"
}

target/review-2/standin "$1" "$folder" &
standin=$!
trap clean_up EXIT
trap 'exit 2' INT TERM
wait "$standin"
