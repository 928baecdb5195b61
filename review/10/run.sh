#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[[ -x target/lugd && -x target/review-2 ]] || { echo "build first: deploy/system.toml, review/build-2.sh" >&2; exit 2; }
exec target/review-2 stopped-behind review/10
