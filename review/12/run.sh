#!/usr/bin/env bash
# Plays the case from the root of the repository; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/standin-3 ] || exit 2
exec target/review-3/standin-3 bounds review/12
