#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/standins"
cargo build --release --offline --locked
