#!/usr/bin/env bash
# Runs all tests, and each fuzz target for a fixed number of inputs. Tests that KNOWN-RED.txt
# lists by their full name run apart: their result and the list are only printed. Exits with
# 1 if any other test fails.
set -euo pipefail
cd "$(dirname "$0")/.."

red="$(sed -n 's/^test: *\([A-Za-z]*\) (.*)$/\1/p' KNOWN-RED.txt | paste -sd '|')"
if [ -n "$red" ]; then
  red_packages="$(sed -n 's/^test: *[A-Za-z]* (\(.*\))$/.\/\1/p' KNOWN-RED.txt | sort -u)"
  go test -skip "^(${red})\$" ./...
  # shellcheck disable=SC2086 # one argument for each package
  go test -run "^(${red})\$" $red_packages || echo "known red tests failed, see below"
else
  go test ./...
fi
for fuzz in ./platform:FuzzObjects ./io/delegate:FuzzDecode ./io/peer:FuzzDecode; do
  go test -run '^$' -fuzz "^${fuzz#*:}\$" -fuzztime 5000x "${fuzz%%:*}"
done

if [ -s KNOWN-RED.txt ]; then
  echo "known red, passed over:"
  cat KNOWN-RED.txt
fi
