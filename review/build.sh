#!/bin/sh
# Builds every stand-in that the scripts of the cases start. It needs no crate and no network.
set -e
cd "$(dirname "$0")/standin"
cargo build --release --locked --offline
