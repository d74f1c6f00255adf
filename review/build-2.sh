#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. The build of the deploy file must have run before.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/review-2 ./review/standin2
