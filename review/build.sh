#!/bin/bash
# Builds the stand-ins of the review's scripts into target/review. Needs the Rust toolchain of the repository only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin review/standin.rs
