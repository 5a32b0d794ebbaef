#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. It needs no
# network: the module has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/standins"
GOWORK=off GOFLAGS=-buildvcs=false GOTOOLCHAIN=local go build -o ../../target/review-standins .
