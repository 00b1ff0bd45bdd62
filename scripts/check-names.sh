#!/usr/bin/env bash
# Fails if names of the users' platform stand in code outside platform/.
set -uo pipefail
cd "$(dirname "$0")/.."
names='X-Ragwortwharf|RAGWORTWHARF_BOOT|/-/(instances|log-|ready)|keyed\.op|weighted_services|max_attempts|target_latency_ms|heartbeat_addr'
if git grep -nE "$names" -- '*.go' ':!platform/*'; then
  echo "names of the platform stand outside platform/"
  exit 1
fi
