#!/usr/bin/env bash
cd "$(dirname "$0")" && exec ../case.sh abandoned-calls "$PWD"
