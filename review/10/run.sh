#!/bin/sh
# Plays the case lateping; TROUBLE=0 leaves the disruption out. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/comfreyhoist ] && [ -x target/review-2 ] || exit 2
TROUBLE="${TROUBLE:-1}" exec target/review-2 -case lateping -node target/comfreyhoist -record review/10/record.txt
