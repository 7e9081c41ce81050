#!/usr/bin/env bash
# Starts emulators of the platform and of the targets (the back-end servers) and
# several instances as separate processes on fixed loopback ports, files the ticket
# that configures them, and stops all processes on Ctrl-C or SIGTERM.
#
# Usage: scripts/start-local.sh [INSTANCES] [SERVICES]
#   INSTANCES  number of instances, 1 to 15; default 3
#   SERVICES   number of services for each collection, 0 for all; default 4
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
work_dir=$(mktemp -d)
pids=()

# stop_processes stops the instances first, because they need the platform for a
# graceful stop.
stop_processes() {
	trap '' INT TERM
	echo "stopping; this takes up to 15 s because no instance remains to hand over to"
	local i
	for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
		kill -TERM "${pids[i]}" 2>/dev/null || true
		if ((i <= 2)); then
			wait "${pids[@]:i}" 2>/dev/null || true
		fi
	done
	rm -rf "$work_dir"
}
trap stop_processes EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# start_process NAME ARGS... starts the program with its output in the log file
# NAME.log. Job control puts it into a process group of its own, so that Ctrl-C does
# not reach it and the script can stop the processes in order.
start_process() {
	local name=$1
	shift
	set -m
	"$work_dir/knapweedstall" "$@" >"$work_dir/$name.log" 2>&1 &
	set +m
	pids+=($!)
}

# wait_for SECONDS COMMAND... repeats the command until it succeeds, and exits after
# the given time.
wait_for() {
	local deadline=$((SECONDS + $1))
	shift
	until "$@" >/dev/null 2>&1; do
		if ((SECONDS >= deadline)); then
			echo "timed out: $*" >&2
			tail -n 5 "$work_dir"/*.log >&2
			exit 1
		fi
		sleep 0.2
	done
}

# print_settings INDEX PORT prints the settings of an instance.
print_settings() {
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

go build -o "$work_dir/knapweedstall" .
start_process platform emulate -listen "$platform" platform
start_process targets emulate -listen "$targets" -services "$services" -ticket "$work_dir/first.json" targets
wait_for 10 test -s "$work_dir/first.json"
for ((i = 0; i < instances; i++)); do
	print_settings "$i" $((7010 + 10 * i)) >"$work_dir/instance-$i.hujson"
	start_process "instance-$i" serve -settings "$work_dir/instance-$i.hujson"
done
wait_for 10 "$work_dir/knapweedstall" ticket -address 127.0.0.1:7011 -token "$admin_token" file "$work_dir/first.json"
for ((i = 0; i < instances; i++)); do
	wait_for 20 "$work_dir/knapweedstall" query -address "127.0.0.1:$((7010 + 10 * i))" -token "$harbor_token" -collection dockdesk amber
done

cat <<EOF
$instances instances are running; logs are in $work_dir.
Instance n listens for callers on port 7010+10n, operators on 7011+10n, peers on 7012+10n.

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

Ctrl-C stops all processes.
EOF
wait
