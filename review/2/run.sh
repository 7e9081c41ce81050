#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
trouble="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-standin ] && [ -x target/knapweedstall ] || exit 2
exec target/review-standin survivors review/2/record.txt "$trouble"
