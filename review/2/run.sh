#!/usr/bin/env bash
# Exit codes: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
standins=review/standins/target/release/review_standins
if [ ! -x "$standins" ] || [ ! -x target/release/anvil-platform ]; then
    echo "not built: run the build of deploy/system.toml and review/build.sh" >&2
    exit 2
fi
# Processes that are left if this script is stopped from outside.
REVIEW_PIDS="$(mktemp)"
export REVIEW_PIDS
trap 'kill -9 $(cat "$REVIEW_PIDS") 2>/dev/null; rm -f "$REVIEW_PIDS"; exit 2' INT TERM
"$standins" list review/2/record.txt &
echo $! >> "$REVIEW_PIDS"
wait $!
code=$?
rm -f "$REVIEW_PIDS"
exit $code
