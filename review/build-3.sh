#!/usr/bin/env bash
# Builds the stand-ins of the third review; they need only the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 --crate-name review_3 -C opt-level=2 -o target/review-3/case review/stand_in_3/main.rs
