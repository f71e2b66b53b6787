#!/bin/sh
# Builds the stand-ins of the review with the compiler alone: they use the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/drill review/stand_in/main.rs
