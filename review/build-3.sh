#!/usr/bin/env bash
# Builds the stand-ins of the cases of the third review with the compiler alone; they use no packages.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standin-3/*.rs; do
  rustc --edition 2024 -O -A warnings -o "target/review-3/$(basename "$source" .rs)" "$source"
done
