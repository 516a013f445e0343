#!/bin/sh
# Builds the stand-ins that the scripts start. The tier itself is built by `build` in deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standin/Cargo.toml --target-dir target/review
