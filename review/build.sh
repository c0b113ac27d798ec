#!/bin/sh
# Builds every stand-in that a case starts. They use the standard library only and need no network.
cd "$(dirname "$0")/.." || exit 1
exec cargo build --release --offline --locked --manifest-path review/standins/Cargo.toml --target-dir target/review
