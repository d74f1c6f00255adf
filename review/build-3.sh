#!/bin/sh
# Builds the stand-ins of the cases 11, 12 and 13, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/standin3 ./review/standin3
