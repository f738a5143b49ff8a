#!/bin/sh
# Builds the stand-ins of the second review's scripts with the compiler alone; run in the repository.
set -e
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/case review/standin-2/main.rs
