# Functions that start and stop the processes of a small system on the loopback
# interface. Sourced by demo.sh, bench.sh and capacity.sh. When the script exits,
# every process that it started is stopped by its process ID.
#
# The sourcing script sets base_port, the port of the log, before it starts
# anything. It may set node_flags and TARGET_FLAGS, which are passed to all nodes
# and to all targets that have a node.

bin="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)/bin"
run_dir="$(mktemp -d)"
pids=()
seeds=""
node_count=0
log_url=""
entry_urls=()
target_urls=()

# stop_all: stops the nodes and targets, then the log. The log is last because
# nodes and targets write to it while they stop.
stop_all() {
  [ ${#pids[@]} -gt 0 ] || return 0
  local log_pid=${pids[0]} rest=("${pids[@]:1}") pid
  for pid in "${rest[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${rest[@]}"; do wait "$pid" 2>/dev/null || true; done
  kill -TERM "$log_pid" 2>/dev/null || true
  wait "$log_pid" 2>/dev/null || true
  pids=()
}

finish() {
  stop_all
  rm -rf "$run_dir"
}
trap finish EXIT

# wait_for HOST:PORT: waits until a process accepts connections on the address;
# fails after 100 attempts, 0.05 s apart.
wait_for() {
  for _ in $(seq 1 100); do
    if (exec 3<>"/dev/tcp/${1%:*}/${1#*:}") 2>/dev/null; then return 0; fi
    sleep 0.05
  done
  echo "nothing listens on $1" >&2
  return 1
}

# start_log [log flags]: starts the log and sets log_url.
start_log() {
  log_url="http://127.0.0.1:$((base_port))"
  "$bin/wharfstandin" log --listen "127.0.0.1:$base_port" "$@" >"$run_dir/log.out" 2>&1 &
  pids+=($!)
  wait_for "127.0.0.1:$base_port"
}

# start_vm DOMAIN SERVICE [target flags]: starts a node and its target, and adds
# their URLs to entry_urls and target_urls. The first three nodes become seeds.
start_vm() {
  local domain=$1 service=$2
  shift 2
  node_count=$((node_count + 1))
  local port=$((base_port + 10 * node_count))
  local name="$domain-$service-$node_count"
  # shellcheck disable=SC2086
  "$bin/wharfnode" --caller-listen "127.0.0.1:$port" --node-listen "127.0.0.1:$((port + 1))" \
    --admin-listen "127.0.0.1:$((port + 2))" --failure-domain "$domain" --log-url "$log_url" \
    ${seeds:+--seeds "$seeds"} ${node_flags:-} >"$run_dir/node-$name.out" 2>&1 &
  pids+=($!)
  wait_for "127.0.0.1:$((port + 2))"
  # shellcheck disable=SC2086
  "$bin/wharfstandin" target --listen "127.0.0.1:$((port + 3))" --service "$service" \
    --node-admin "http://127.0.0.1:$((port + 2))" --node-caller "http://127.0.0.1:$port" "$@" ${TARGET_FLAGS:-} \
    >"$run_dir/target-$name.out" 2>&1 &
  pids+=($!)
  entry_urls+=("http://127.0.0.1:$port")
  target_urls+=("http://127.0.0.1:$((port + 3))")
  if [ "$node_count" -le 3 ]; then seeds="${seeds:+$seeds,}127.0.0.1:$((port + 1))"; fi
}

# start_relay URL: starts a target that has no node and forwards each request to
# URL. Its own URL is appended to target_urls.
start_relay() {
  node_count=$((node_count + 1))
  local port=$((base_port + 10 * node_count + 3))
  "$bin/wharfstandin" target --listen "127.0.0.1:$port" --service relay --service-time 0s --slots 200 \
    --calls next --node-caller "$1" --node-admin "$1" >"$run_dir/relay-$node_count.out" 2>&1 &
  pids+=($!)
  wait_for "127.0.0.1:$port"
  target_urls+=("http://127.0.0.1:$port")
}

join_by_comma() {
  local IFS=,
  echo "$*"
}
