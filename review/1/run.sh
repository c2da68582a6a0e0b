#!/usr/bin/env bash
# Exit codes: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
standins=review/standins/target/release/review_standins
if [ ! -x "$standins" ] || [ ! -x target/release/anvil-platform ]; then
    echo "not built: run the build of deploy/system.toml and review/build.sh" >&2
    exit 2
fi
exec "$standins" resume review/1/record.txt
