#!/usr/bin/env bash
# Scores site files of the users' bench one by one and prints each day's worth beside
# that of the last run. Run it in the repository before a landing.
#
# Usage: scripts/regression.sh BENCH REASON SITE...
#   BENCH   path of the bench's program
#   REASON  a line for the journal
#   SITE    path of a site file
# JOBS (default 2) is the number of days that are played at the same time; sites of
# hundreds of machines are played one day at a time. LAST (default
# .regression-last.txt) holds the figures of the last run.
set -euo pipefail
cd "$(dirname "$0")/.."

if [ $# -lt 3 ]; then
	echo "usage: $0 BENCH REASON SITE..." >&2
	exit 2
fi
bench=$1
reason=$2
shift 2
last=${LAST:-.regression-last.txt}
current=$(mktemp)
trap 'rm -f "$current"' EXIT

status=0
for site in "$@"; do
	jobs=${JOBS:-2}
	case $site in *large*) jobs=1 ;; esac
	report=$("$bench" score "$site" --jobs "$jobs" --why "$reason") || status=1
	name=$(basename "$site" .toml)
	grep -E '^GATE' <<<"$report" | sed "s/^/$name: /"
	awk -v site="$name" '$2 ~ /^[0-9]+\/[0-9]+$/ {print site, $1, $4, $5}' <<<"$report" >>"$current"
done

echo "site day worth before served"
while read -r site day worth served; do
	before=-
	if [ -f "$last" ]; then
		before=$(awk -v s="$site" -v d="$day" '$1 == s && $2 == d {print $3}' "$last")
	fi
	echo "$site $day $worth ${before:--} $served"
done <"$current" | column -t
cp "$current" "$last"
exit "$status"
