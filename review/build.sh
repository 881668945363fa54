#!/bin/sh
# Builds the scripts and their stand-ins; needs no network once the build of the deploy file has run.
set -e
cd "$(dirname "$0")/harness"
cargo build --release --locked --offline || cargo build --release --locked
