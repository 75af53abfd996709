#!/bin/sh
# Plays the case; exits with 1 if the rule was broken, 0 if it held, and 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/fleet/chivebend-platform ] && [ -x target/review-2/standin-2 ] || exit 2
# Command and features of the deploy file.
ENTRY_PROGRAM=$(sed -n 's/^run = "\([^"]*\)"/\1/p' deploy/system.toml)
ENTRY_FEATURES=$(sed -n 's/.*CHIVEBEND_FEATURES = "\([^"]*\)".*/\1/p' deploy/system.toml)
SCRATCH=$(mktemp -d) || exit 2
export ENTRY_PROGRAM ENTRY_FEATURES SCRATCH
target/review-2/standin-2 crash review/7
result=$?
rm -rf "$SCRATCH"
exit $result
