#!/usr/bin/env bash
# Runs the case "caller" of review/standin2, after the build of the deploy file and
# review/build-2.sh. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves the disruption out.
set -uo pipefail
dir=$(cd "$(dirname "$0")" && pwd)
cd "$dir/../.." || exit 2
if ! [ -x target/review-2/standin2 ] || ! [ -x target/knapweedstall ]; then
	echo "not built" >&2
	exit 2
fi
exec target/review-2/standin2 caller "$dir"
