# `make test` skips the tests listed in KNOWN-RED.txt; CI prints them.
KNOWN_RED := $(shell awk '$$1 == "test:" {print "--skip " $$2}' KNOWN-RED.txt)

# Seed of `make soak`, and duration of `make soak-fresh` in minutes.
SEED ?= 1
MINUTES ?= 5

.PHONY: demo test measure bench setup check soak soak-fresh

setup:
	@command -v cmake >/dev/null || (apt-get update -qq && apt-get install -y -qq cmake)

demo: setup
	cargo build --quiet --workspace --bins
	cargo run --quiet --package standins -- demo

test: setup
	cargo build --quiet --workspace --bins
	cargo test --workspace --quiet -- $(KNOWN_RED)

check:
	cargo fmt --all --check
	cargo clippy --quiet --workspace --all-targets -- --deny warnings

bench:
	cargo bench --quiet --package policy --bench decisions
	cargo bench --quiet --package budget --bench reservation
	cargo bench --quiet --package agent --bench call
	cargo bench --quiet --package journal --bench journal

measure: setup
	cargo build --quiet --release --workspace --bins
	cargo run --quiet --release --package standins -- measure --output target/measure.json

soak:
	SOAK_SEED=$(SEED) cargo test --quiet --package platform --test soak -- --nocapture

soak-fresh:
	SOAK_MINUTES=$(MINUTES) cargo test --quiet --package platform --test soak -- --nocapture
