#!/usr/bin/env bash
# Builds the stand-ins of the cases with the compiler alone; they use no packages.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standin/*.rs; do
  name=$(basename "$source" .rs)
  if [ "$name" != fleet ]; then
    rustc --edition 2024 -O -o "target/review/$name" "$source"
  fi
done
