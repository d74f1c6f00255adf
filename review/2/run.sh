#!/usr/bin/env bash
# Plays the case. With TROUBLE=0 the disruption is left out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run. The node of the deploy file's build and review/build.sh come before it.
cd "$(dirname "$0")/../.." || exit 2
if ! [ -x target/comfreyhoist ] || ! [ -x target/review-standin ]; then
  echo "target/comfreyhoist or target/review-standin is missing"
  exit 2
fi
TROUBLE="${TROUBLE:-1}" target/review-standin late review/2/record.txt
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
