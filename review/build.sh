#!/bin/sh
# Builds the stand-ins that the cases start.
set -e
cd "$(dirname "$0")/rig"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review-rig .
