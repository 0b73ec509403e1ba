#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
dir=$(mktemp -d) || exit 2
timeout -k 5 110 target/review/headers root="$PWD" dir="$dir" record=review/5/record.txt \
  trouble="${TROUBLE:-1}"
code=$?
rm -rf "$dir"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
