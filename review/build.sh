#!/bin/sh
# Builds the stand-in of the cases with the compiler alone: it uses the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin review/standin/main.rs
