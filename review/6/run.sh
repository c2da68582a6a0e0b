#!/bin/bash
# LOST: routers are killed, and most of the streams that their clients take up again are refused for money.
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
folder="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$folder/../.." || exit 2
program=review/standins-2/target/release/review-2
if [ ! -x "$program" ] || [ ! -x target/release/anvil-platform ]; then
    echo "not built: the deploy file's build, and review/build-2.sh" >&2
    exit 2
fi
exec "$program" taken-up "$folder"
