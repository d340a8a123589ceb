# Functions for scripts that run a small fleet on loopback addresses. Source this file from the root
# of the repository after the build. `dir` is a temporary directory, removed when the script exits.
dir=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$dir"
}
trap cleanup EXIT

# wait_for FILE
# Waits at most 10 seconds until the file exists and is not empty; otherwise prints the logs and
# exits.
wait_for() {
  for _ in $(seq 200); do [ -s "$1" ] && return; sleep 0.05; done
  echo "no $1; the log says:" >&2
  cat "$dir"/*.log >&2
  exit 1
}

port_of() { sed -n "s/^$2 = //p" "$dir/$1.ports"; }

start_store() {
  build/fake_store --port-file "$dir/store" 2>"$dir/store.log" & pids+=($!)
  wait_for "$dir/store"
  store=127.0.0.1:$(cat "$dir/store")
  (umask 077; head -c 24 /dev/urandom | base64 >"$dir/fleet.key")
}

# start_node NAME DOMAIN [PEERS]
# Starts a node and sets `node_pid`. PEERS are the link addresses of other nodes.
start_node() {
  cat >"$dir/$1.ini" <<INI
[node]
vm = $1
failure_domain = $2
store = $store
peers = ${3-}
fleet_key_file = $dir/fleet.key
port_file = $dir/$1.ports
INI
  build/node --settings "$dir/$1.ini" 2>"$dir/$1.log" & pids+=($!)
  node_pid=$!
  wait_for "$dir/$1.ports"
}

# start_backend NAME SERVICE NODE [OPTION...]
# Starts a backend server that announces itself to NODE.
start_backend() {
  local name=$1 service=$2 node=$3
  shift 3
  build/fake_backend --service "$service" --node "$(port_of "$node" control)" \
    --port-file "$dir/$name" "$@" 2>"$dir/$name.log" & pids+=($!)
  wait_for "$dir/$name"
}
