#!/bin/bash
# Builds the stand-in of the scripts in review/11 to review/15, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -tags review3 -o target/review3/standin3 ./review/standin3
