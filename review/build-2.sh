#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. Run after the build of deploy/system.toml; needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cd review/standin2
GOWORK=off go build -o ../../target/review2 .
