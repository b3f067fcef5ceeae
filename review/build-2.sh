#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, without network: they use the standard library only.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --locked --offline --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
