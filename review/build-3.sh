#!/bin/sh
# Builds the stand-ins of the scripts of the third review, without a network. The project's own fakes are
# built from a copy whose store takes records of the size that the users' installations state.
set -e
cd "$(dirname "$0")/.."
copy=target/review-3/src
rm -rf "$copy"
mkdir -p "$copy/review"
cp -r crates platform Cargo.toml Cargo.lock "$copy/"
cp -r review/standin-3 "$copy/review/"
store="$copy/crates/fakes/src/platform/store.rs"
sed -i 's/RECORD_BYTES: usize = 16_384/RECORD_BYTES: usize = 262_144/; s/CALL_BYTES: usize = 65_536/CALL_BYTES: usize = 2_097_152/' "$store"
grep -q 'RECORD_BYTES: usize = 262_144' "$store"
grep -q 'CALL_BYTES: usize = 2_097_152' "$store"
cd "$copy/review/standin-3"
CARGO_TARGET_DIR=../../.. cargo build --release --locked --offline
