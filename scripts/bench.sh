#!/usr/bin/env bash
# Measures on the loopback interface, in one run for comparison:
#   - the latency that two nodes add to a call;
#   - for each variant of the node flags, the results that callers see while the
#     last service of a call chain is ten times slower, the request rate doubles
#     and clients resend failed requests up to three times.
#
# Usage: bench.sh [latency | VARIANT...]; without arguments everything runs.
# TARGET_FLAGS are passed to all targets. By default targets keep working on a
# request after its caller has cancelled it, as most services do.
set -euo pipefail
TARGET_FLAGS=${TARGET_FLAGS---ignore-cancellation}
base_port=${BASE_PORT:-22000}
# shellcheck source=scripts/cluster.sh
source "$(dirname "$0")/cluster.sh"
out="${BENCH_OUT:-$(mktemp -d)}"
mkdir -p "$out"

# variant_flags NAME: prints the node flags of a variant.
variant_flags() {
  case $1 in
    no-control) echo "--limiter off --no-levels --retries off --queue-order arrival" ;;
    plain-retries) echo "--limiter off --no-levels --retries plain --queue-order arrival" ;;
    wharf) echo "" ;;
    gradient) echo "--limiter gradient" ;;
    fifo) echo "--queue-order fifo" ;;
    no-levels) echo "--no-levels" ;;
    *) echo "unknown variant $1" >&2; return 1 ;;
  esac
}

reset() {
  stop_all
  seeds=""
  node_count=0
  entry_urls=()
  target_urls=()
  base_port=$((base_port + 400))
}

# latency: measures a call without nodes, through two relays and through two nodes.
latency() {
  reset
  node_flags=""
  start_log
  start_vm domain-a front --slots 200 --service-time 1ms
  start_vm domain-a other --slots 200 --service-time 1ms
  sleep 4
  # Two plain HTTP relays give the lowest latency that two nodes could add on this
  # machine.
  start_relay "${target_urls[0]}"
  start_relay "${target_urls[-1]}"
  local args=(--service front --rate 500 --duration 12s --timeout 1s)
  "$bin/wharfstandin" load --name "direct to the target" --entries "${target_urls[0]}" "${args[@]}" --json "$out/latency-direct.json"
  "$bin/wharfstandin" load --name "through two plain relays" --entries "${target_urls[-1]}" "${args[@]}" --json "$out/latency-relays.json"
  "$bin/wharfstandin" load --name "through two nodes" --entries "${entry_urls[1]}" "${args[@]}" --json "$out/latency-nodes.json"
}

# trouble VARIANT: measures one variant of the node flags under the overload that
# the head of this file describes.
trouble() {
  reset
  node_flags=$(variant_flags "$1")
  start_log
  local slow=() domain
  for domain in domain-a domain-b domain-c; do
    start_vm "$domain" front --calls middle --slots 150 --service-time 2ms
    start_vm "$domain" middle --calls deep --slots 120 --service-time 2ms
    start_vm "$domain" deep --slots 10 --service-time 60ms
    slow+=("${target_urls[-1]}")
    # No request is for the service spare. Its nodes only receive requests of
    # callers and pass them on, as all nodes do.
    start_vm "$domain" spare --slots 10 --service-time 20ms
  done
  "$bin/wharfctl" publish --log-url "$log_url" --author bench "$(dirname "$0")/bench.yaml" >/dev/null
  sleep 4
  local all
  all=$(join_by_comma "${target_urls[@]}")
  "$bin/wharfstandin" load --name "$1" --entries "$(join_by_comma "${entry_urls[@]}")" --service front \
    --classes "reads:8:GET:/boards/7,bookings:22:GET:/bookings/7,office:30:GET:/office/7,footage:40:GET:/footage/7" \
    --rate 300 --duration "${BENCH_DURATION:-32s}" --timeout 2s --resends 3 \
    --trouble-at 8s --trouble-for 10s --surge 2 --slow "$(join_by_comma "${slow[@]}")" \
    --slow-from 60 --slow-to 600 --capacity 50 --targets "$all" --json "$out/$1.json"
  if [ -n "${BENCH_LOGS:-}" ]; then mkdir -p "$BENCH_LOGS" && cp "$run_dir"/*.out "$BENCH_LOGS"; fi
}

if [ $# -eq 0 ]; then set -- latency no-control plain-retries wharf gradient fifo no-levels; fi
for step in "$@"; do
  if [ "$step" = latency ]; then latency; else trouble "$step"; fi
done
echo "reports in $out"
