#!/usr/bin/env bash
# Builds what the scripts of the cases from 6 on start beside the deploy file's build: one program with all stand-ins.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
cargo build --release --locked --offline
