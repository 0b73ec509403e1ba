#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review with the compiler alone; they use no packages.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standin-2/*.rs; do
  name=$(basename "$source" .rs)
  if [ "$name" != lab ]; then
    rustc --edition 2024 -O -A warnings -o "target/review-2/$name" "$source"
  fi
done
