#!/bin/sh
# Plays the case; see claim.txt. With TROUBLE=0 it does the same without the disruption. It exits with 1 if the rule
# was broken, 0 if it was kept and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-rig ] && [ -x target/lugd ] || exit 2
case "${TROUBLE:-1}" in
0) trouble=calm ;;
*) trouble=trouble ;;
esac
exec target/review-rig quota "$trouble" review/1/record.txt
