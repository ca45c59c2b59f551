#!/bin/sh
# Builds the stand-ins and drivers that the scripts under review/ start. They need only the standard library.
set -e
cd "$(dirname "$0")/standins"
exec cargo build --release --locked --offline --target-dir ../../target/review
