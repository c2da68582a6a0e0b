#!/bin/bash
# Builds the stand-ins that the scripts of the second review start. Needs no network.
set -eu
cd "$(dirname "$0")/standins-2"
cargo build --release --offline --locked
