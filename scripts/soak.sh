#!/usr/bin/env bash
# Runs the fault soak by hand: real programs, faults from outside, promises checked.
# A run's report and, if it failed, its logs are in target/tmp/soak-SEED.
set -euo pipefail
cd "$(dirname "$0")/.."

usage() { echo "usage: scripts/soak.sh [--seed N] [--minutes M] [--scale K]" >&2; exit 2; }

seed=$RANDOM$RANDOM
minutes=0
scale=1
while (($#)); do
    case "$1" in
        --seed) seed=${2:?} ;;
        --minutes) minutes=${2:?} ;;
        --scale) scale=${2:?} ;;
        *) usage ;;
    esac
    shift 2
done
printf 'first seed %s\n' "$seed"
LENTIL_SOAK_SEED=$seed LENTIL_SOAK_SECONDS=$((minutes * 60)) LENTIL_SOAK_SCALE=$scale \
    cargo test --locked -p lentil_site --test soak -- --nocapture
