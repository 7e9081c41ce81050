#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They are a module of their own without
# dependencies, which keeps them out of CI.
set -euo pipefail
cd "$(dirname "$0")/standin3"
go build -o ../../target/review-3/standin3 .
