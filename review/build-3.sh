#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 11 to 15 start. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
GOWORK=off CGO_ENABLED=0 go build -C review/rig3 -o ../../target/rig3 .
