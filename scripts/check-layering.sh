#!/usr/bin/env bash
# Fails when a pure crate depends, directly or not, on a crate that does I/O.
set -euo pipefail
cd "$(dirname "$0")/.."

status=0
for crate in lentil_types lentil_config lentil_policy lentil_trace lentil_replay; do
    tree=$(cargo tree --locked --package "$crate" --edges normal --prefix none)
    if bad=$(grep -E '^(smol|async-io|async-net|h2|tokio|trillium[a-z-]*|lentil_wire|lentil_platform|lentil_process) ' <<<"$tree"); then
        printf '%s depends on I/O crates:\n%s\n' "$crate" "$bad" >&2
        status=1
    fi
done
exit "$status"
