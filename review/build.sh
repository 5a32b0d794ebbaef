#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. They use the
# standard library only.
set -euo pipefail
cd "$(dirname "$0")/harness"
GOWORK=off GOFLAGS=-buildvcs=false GOTOOLCHAIN=local go build -o ../.bin/harness .
