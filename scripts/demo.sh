#!/usr/bin/env bash
# Runs a small system on the loopback interface: one log and three failure domains,
# each with two services of which one calls the other. Publishes a configuration,
# sends a mix of requests, prints the outcomes and stops all processes that it
# started.
set -euo pipefail
base_port=${BASE_PORT:-21000}
# shellcheck source=scripts/cluster.sh
source "$(dirname "$0")/cluster.sh"
root="$(cd "$(dirname "$0")/.." && pwd)"

start_log
for domain in domain-a domain-b domain-c; do
  start_vm "$domain" schedules --calls routes --slots 40 --service-time 5ms
  start_vm "$domain" routes --slots 40 --service-time 5ms
done
echo "one log, ${node_count} nodes and targets in three failure domains"
"$bin/wharfctl" publish --log-url "$log_url" --author demo "$root/examples/timetables.yaml"
sleep 2
"$bin/wharfctl" status --node "http://127.0.0.1:$((base_port + 12))"
"$bin/wharfstandin" load --name demo --entries "$(join_by_comma "${entry_urls[@]}")" --service schedules \
  --classes "passenger-reads:6:GET:/boards/7,bookings:2:POST:/bookings:200,footage:2:PUT:/uploads/7:100000" \
  --rate 200 --duration 8s --targets "$(join_by_comma "${target_urls[@]}")"
stop_all
echo "all processes stopped"
