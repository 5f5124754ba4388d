#!/bin/sh
# Builds the stand-ins and cases of the second review. It needs the Rust toolchain only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/cases.new review/standins-2/main.rs
mv target/review-2/cases.new target/review-2/cases
