#!/bin/sh
# Plays case 13 and writes record.txt beside this file. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't
# run. With TROUBLE=0 the disruption is left out.
cd "$(dirname "$0")/../.." || exit 2
test -x target/standin3 && test -x target/comfreyhoist || { echo "build first: the deploy file's build, then review/build-3.sh"; exit 2; }
exec target/standin3 -case 13 -program target/comfreyhoist -record review/13/record.txt
