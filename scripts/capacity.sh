#!/usr/bin/env bash
# Measures the input of docs/CAPACITY.md: the Go benchmarks of admission, routing
# and other decisions at several sizes, and the CPU time, network traffic and
# memory that idle nodes use for control.
#
# Usage: capacity.sh [NODES...]; NODES are the numbers of idle nodes to measure
# with, by default 12 24 36. Set SKIP_BENCHMARKS to skip the Go benchmarks.
set -euo pipefail
base_port=${BASE_PORT:-26000}
# shellcheck source=scripts/cluster.sh
source "$(dirname "$0")/cluster.sh"
root="$(cd "$(dirname "$0")/.." && pwd)"

if [ -z "${SKIP_BENCHMARKS:-}" ]; then
  (cd "$root/wharf" && go test -run '^$' -bench . -benchtime 300ms ./... | grep -E '^Benchmark')
fi

ticks=$(getconf CLK_TCK)
cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
rss_kb() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }
metric() { curl -s "$1/metrics" | awk -v m="$2" 'index($1, m) == 1 {s += $2} END {print s + 0}'; }

idle() {
  local n=$1 domains=(domain-a domain-b domain-c domain-d domain-e domain-f) i port
  stop_all
  seeds=""
  admins=()
  nodes=()
  base_port=$((base_port + 800))
  start_log
  for i in $(seq 1 "$n"); do
    port=$((base_port + 10 * i))
    "$bin/wharfnode" --caller-listen "127.0.0.1:$port" --node-listen "127.0.0.1:$((port + 1))" \
      --admin-listen "127.0.0.1:$((port + 2))" --failure-domain "${domains[$((i % 6))]}" --log-url "$log_url" \
      ${seeds:+--seeds "$seeds"} >"$run_dir/idle-$i.out" 2>&1 &
    pids+=($!)
    nodes+=($!)
    admins+=("http://127.0.0.1:$((port + 2))")
    if [ "$i" -le 3 ]; then
      wait_for "127.0.0.1:$((port + 2))"
      seeds="${seeds:+$seeds,}127.0.0.1:$((port + 1))"
    fi
  done
  sleep 8
  # wharfstandin spread publishes configuration changes one by one, 20 by default,
  # and measures how long each takes to reach all nodes that it is given.
  "$bin/wharfstandin" spread --log-url "$log_url" --nodes "$(join_by_comma "${admins[@]}")"
  sleep 2
  measure "idle"
  "$bin/wharfstandin" spread --log-url "$log_url" --nodes "${admins[0]}" --changes 9 --pause 2200ms >/dev/null &
  measure "0.45 changes/s"
  wait $!
}

# measure NAME: prints the average CPU, control traffic and memory of a node over
# 20 s.
measure() {
  local cpu=0 sent=0 rss=0 cpu0=0 sent0=0 span=20 i
  for i in "${!nodes[@]}"; do
    cpu0=$((cpu0 + $(cpu_ticks "${nodes[$i]}")))
    sent0=$((sent0 + $(metric "${admins[$i]}" wharf_control_bytes_total)))
  done
  sleep "$span"
  for i in "${!nodes[@]}"; do
    cpu=$((cpu + $(cpu_ticks "${nodes[$i]}")))
    sent=$((sent + $(metric "${admins[$i]}" wharf_control_bytes_total)))
    rss=$((rss + $(rss_kb "${nodes[$i]}")))
  done
  awk -v n="${#nodes[@]}" -v c=$((cpu - cpu0)) -v b=$((sent - sent0)) -v r="$rss" -v s="$span" -v t="$ticks" -v what="$1" 'BEGIN {
    printf "%d nodes, %s, per node: %.2f%% of a core, %.0f B/s sent and received in the exchanges that it started, %.1f MB resident\n",
      n, what, 100 * c / t / s / n, b / s / n, r / 1024 / n }'
}

if [ $# -eq 0 ]; then set -- 12 24 36; fi
for n in "$@"; do idle "$n"; done
