#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
REVIEW_PIDS=$(mktemp)
export REVIEW_PIDS
end_all() {
  while read -r pid; do
    if [ "$(cat "/proc/$pid/comm" 2>/dev/null)" = hornbeamrun ]; then kill -9 "$pid" 2>/dev/null; fi
  done <"$REVIEW_PIDS"
  rm -f "$REVIEW_PIDS"
}
trap end_all EXIT
if [ ! -x target/review-2/limit ] || [ ! -x target/release/hornbeamrun ]; then
  echo "build first: the build of the deploy file, then review/build-2.sh"
  exit 2
fi
# The machines of the pages have 256 or 260 MB. 8 GB of address space for each process of the case makes the result
# the same on machines with more memory than that of the review.
ulimit -v 8388608
timeout 110 target/review-2/limit "$here/record.txt"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
