#!/usr/bin/env bash
# Starts a platform stand-in, target stand-ins and several instances as separate
# processes on fixed loopback ports, files the first ticket, and ends them all on
# Ctrl-C or SIGTERM.
#
# Usage: scripts/start-local.sh [INSTANCES] [SERVICES]
#   INSTANCES  number of instances, 1 to 15; default 3
#   SERVICES   services of each collection, 0 for all; default 4
set -euo pipefail

instances=${1:-3}
services=${2:-4}
if ! [[ $instances =~ ^([1-9]|1[0-5])$ && $services =~ ^[0-9]+$ ]]; then
	echo "usage: $0 [INSTANCES 1-15] [SERVICES]" >&2
	exit 2
fi

platform=127.0.0.1:7000
targets=127.0.0.1:7003
admin_token=admin-0123456789abcdef
peer_token=peers-0123456789abcdef
harbor_token=token-harbor-0123456789
rail_token=token-rail-0123456789
zones=(macon-yard warner-dock perry-shed)

cd "$(dirname "$0")/.."
dir=$(mktemp -d)
pids=()

# The instances stop first and gracefully; they need the platform for that.
stop() {
	trap '' INT TERM
	echo "stopping; with no instance left to hand over to, this takes up to 15 s"
	local i
	for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
		kill -TERM "${pids[i]}" 2>/dev/null || true
		if ((i <= 2)); then
			wait "${pids[@]:i}" 2>/dev/null || true
		fi
	done
	rm -rf "$dir"
}
trap stop EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# start NAME ARGS...: starts the program with its output in a log file. A job
# that is started with job control is a process group of its own, so Ctrl-C does
# not reach it before the script ends it in order.
start() {
	local name=$1
	shift
	set -m
	"$dir/knapweedstall" "$@" >"$dir/$name.log" 2>&1 &
	set +m
	pids+=($!)
}

# wait_for SECONDS COMMAND...: repeats the command until it succeeds.
wait_for() {
	local deadline=$((SECONDS + $1))
	shift
	until "$@" >/dev/null 2>&1; do
		if ((SECONDS >= deadline)); then
			echo "not in time: $*" >&2
			tail -n 5 "$dir"/*.log >&2
			exit 1
		fi
		sleep 0.2
	done
}

settings() {
	local i=$1 port=$2
	cat <<EOF
{
  "instance": "$(printf 'peachline-%02d' "$i")", "zone": "${zones[i % 3]}", "region": "ga-central",
  "listen": {"callers": "127.0.0.1:$port", "operators": "127.0.0.1:$((port + 1))", "peers": "127.0.0.1:$((port + 2))"},
  "platform": "$platform", "adminToken": "$admin_token", "peerToken": "$peer_token",
  "callers": [{"token": "$harbor_token", "tenant": "harbor-ops"}, {"token": "$rail_token", "tenant": "rail-desk"}],
}
EOF
}

go build -o "$dir/knapweedstall" .
start platform emulate -listen "$platform" platform
start targets emulate -listen "$targets" -services "$services" -ticket "$dir/first.json" targets
wait_for 10 test -s "$dir/first.json"
for ((i = 0; i < instances; i++)); do
	settings "$i" $((7010 + 10 * i)) >"$dir/instance-$i.hujson"
	start "instance-$i" serve -settings "$dir/instance-$i.hujson"
done
wait_for 10 "$dir/knapweedstall" ticket -address 127.0.0.1:7011 -token "$admin_token" file "$dir/first.json"
for ((i = 0; i < instances; i++)); do
	wait_for 20 "$dir/knapweedstall" query -address "127.0.0.1:$((7010 + 10 * i))" -token "$harbor_token" -collection dockdesk amber
done

cat <<EOF
$instances instances are running; logs are in $dir.
Instance n serves callers on port 7010+10n, operators on 7011+10n, peers on 7012+10n.

Query:
  go run . query -address 127.0.0.1:7010 -token $harbor_token -collection dockdesk "amber cedar"
  curl -H 'Authorization: Bearer $harbor_token' -d '{"collection":"dockdesk","query":"amber"}' http://127.0.0.1:7010/v1/query
Run once:
  go run . run -address 127.0.0.1:7010 -token $harbor_token -collection certvault -key order-1 "badge 7"
Status and tickets:
  go run . status -address 127.0.0.1:7011 -token $admin_token
  go run . ticket -address 127.0.0.1:7011 -token $admin_token list
Faults:
  curl -X PUT -H 'Content-Type: application/json' -d '{"down":true}' http://$platform/faults
  curl -X POST 'http://$targets/crash?zone=macon-yard'

Ctrl-C ends all processes.
EOF
wait
