#!/bin/sh
# Builds the stand-ins and drivers of the cases 6 to 10; they use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
exec rustc --edition 2024 -O -o target/review-2/case review/cases_2/main.rs
