#!/usr/bin/env bash
# Plays a case of the harness: case.sh CASE FOLDER. The exit code is 1 if the
# rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
cd "$(dirname "$0")/.."
export NODE_BINARY="$PWD/target/lentilferryd"
if [ ! -x "$NODE_BINARY" ] || [ ! -x review/.bin/harness ]; then
  echo "build as the deploy file says, and with review/build.sh" >&2
  exit 2
fi
exec timeout --kill-after=5 115 review/.bin/harness "$1" "$2/record.txt"
