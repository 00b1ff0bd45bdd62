#!/usr/bin/env bash
# Builds the stand-ins of the review. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off go build -o ../../target/review-standin .
