#!/usr/bin/env bash
# Builds the stand-ins of the second review, which need no crate and no network.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/standin-2"
cargo build --release --offline --locked
