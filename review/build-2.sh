#!/usr/bin/env bash
# Builds the stand-ins of the second review: review-2 has the store, the workers and the clients of all its scripts. It
# needs no network and no module but the standard library.
set -euo pipefail
cd "$(dirname "$0")/rig2"
GOWORK=off GOFLAGS=-mod=mod CGO_ENABLED=0 go build -o ../../target/review-2 .
