#!/bin/sh
# Builds the stand-ins and checks of the cases 6 to 10. The project's own programs come from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --offline --locked --manifest-path review/second/Cargo.toml --target-dir target/review-2
