#!/usr/bin/env bash
# Fails if Go code outside platform/ contains names that belong to the platform on
# which the nodes run: its headers, variables, paths and field names.
set -uo pipefail
cd "$(dirname "$0")/.."
names='X-Ragwortwharf|RAGWORTWHARF_BOOT|/-/(instances|log-|ready)|keyed\.op|weighted_services|max_attempts|target_latency_ms|heartbeat_addr'
if git grep -nE "$names" -- '*.go' ':!platform/*'; then
  echo "Go code outside platform/ contains names of the platform"
  exit 1
fi
