#!/bin/sh
# Builds every stand-in that the cases start. The project's own programs come from the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/Cargo.toml --target-dir target/review
