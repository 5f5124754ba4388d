#!/bin/sh
# Builds the stand-ins of the review's scripts, with the Rust toolchain only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/review review/standins/main.rs
