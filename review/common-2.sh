# Functions of the scripts in review/6 to review/10. Sourced from the root of the repository, after the
# build of the deploy file and review/build-2.sh. `case_dir` is the folder of the case. Each script runs
# a small fleet on loopback addresses 127.0.NET.N, with a temporary directory, and ends what it started
# on every exit.
standin=target/review-2/standin
record=$case_dir/record.txt
host=h.example
api_key=reviewkey0reviewkey01
dir=$(mktemp -d)
pids=()
net_lock=
watcher=
cleanup() {
  kill -TERM "$watcher" 2>/dev/null || true # it ends its own sleep
  wait "$watcher" 2>/dev/null || true
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$dir"
  [ -z "$net_lock" ] || rmdir "$net_lock" 2>/dev/null || true
}
trap cleanup EXIT
trap 'echo "the limit of the script has passed" >&2; exit 2' TERM
(
  sleep "${LIMIT:-110}" & sleeper=$!
  trap 'kill "$sleeper"; exit' TERM
  wait "$sleeper" && kill -TERM $$
) 2>/dev/null & watcher=$!
: >"$record"

# cannot_run TEXT
cannot_run() {
  echo "the case could not run: $1" >&2
  for log in "$dir"/*.log; do [ -s "$log" ] && tail -n 3 "$log" >&2; done
  exit 2
}

note() { echo "$(date +%s.%3N) script $*" >>"$record"; }

# wait_until SECONDS COMMAND...
# Repeats the command until it succeeds; 1 after that time.
wait_until() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    ((SECONDS < end)) || return 1
    sleep 0.05
  done
}

# listens ADDRESS PORT
listens() { (exec 3<>"/dev/tcp/$1/$2") 2>/dev/null; }

# free_net
# Sets `net`, the third number of the addresses, so that two scripts can run at once.
free_net() {
  for _ in $(seq 50); do
    net=$((RANDOM % 200 + 20))
    listens "127.0.$net.1" 8548 || listens "127.0.$net.250" 8545 && continue
    net_lock=${TMPDIR:-/tmp}/review-2-net-$net
    mkdir "$net_lock" 2>/dev/null && return 0
  done
  cannot_run "no free addresses"
}

# start_store
start_store() {
  store=127.0.$net.250:8545
  "$standin" store listen="$store" name=store record="$record" 2>"$dir/store.log" & pids+=($!)
  wait_until 10 listens "127.0.$net.250" 8545 || cannot_run "the store does not listen"
}

# put_config FILE
# The answer of the stand-in is the operator's confirmation.
put_config() {
  local bytes
  bytes=$(wc -c <"$1")
  exec 3<>"/dev/tcp/127.0.$net.250/8545"
  { printf 'PUT /operator/config HTTP/1.1\r\nHost: store\r\nConnection: close\r\n'
    printf 'Content-Length: %s\r\n\r\n' "$bytes"; cat "$1"; } >&3
  head -n 1 <&3 | grep -q ' 200 ' || cannot_run "the store takes no configuration"
  exec 3<&-
}

# start_node N ZONE SERVICE FIRST_START
# The settings are what deploy/node.ini.in makes of the settings of a small deployment. Sets
# `node_pid`.
start_node() {
  local ip=127.0.$net.$1
  cat >"$dir/vm-$1.ini" <<INI
[node]
platform = yes
first_start = ${4:-yes}
vm = vm-$1
failure_domain = $2
region = r
callers = $ip:8548
control = $ip:8540
ready = $ip:8546
links = $ip:7000
metrics = $ip:7001
store = $store
backend_server = $ip:8547
service = $3
revoke_within = 5s
announcement_ttl = 60s
backend_idle = 4s
buffered_body_bytes = 524288
waiting_requests = 64
closing_grace = 2500ms
stop_grace = 6s
limit_holders = 1
retry_share = 0.2
fleet_retries = 62
fleet_retry_window = 10s
hedge_after = 2.5
other_domain_penalty = 0.3
other_domain_penalty_per_mb = 30
other_region_penalty = 0.7
other_region_penalty_per_mb = 30
region_link = 50
ping_period = 200ms
own_domain_first = no
rate_slack = 20

[regions]
za = r
zb = r
zc = r
INI
  target/node --settings "$dir/vm-$1.ini" >>"$dir/vm-$1.log" 2>&1 & node_pid=$!
  pids+=("$node_pid")
}

# is_ready N
is_ready() {
  local line
  exec 3<>"/dev/tcp/127.0.$net.$1/8546" || return 1
  printf 'GET /v1/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n' >&3
  read -r line <&3
  exec 3<&-
  [[ $line == *" 200 "* ]]
}

# start_upstream N ZONE SERVICE [NAME=VALUE...]
start_upstream() {
  local ip=127.0.$net.$1
  "$standin" upstream listen="$ip:8547" control="$ip:8540" service="$3" id="i-$1" zone="$2" \
    name="upstream-$1" record="$record" "${@:4}" 2>"$dir/upstream-$1.log" & upstream_pid=$!
  pids+=("$upstream_pid")
  wait_until 10 listens "$ip" 8547 || cannot_run "upstream $1 does not listen"
}

# wait_checked_in COUNT
wait_checked_in() {
  has_checked_in() { (($(grep -c 'check-in confirmed' "$record") >= $1)); }
  wait_until 15 has_checked_in "$1" || cannot_run "the upstreams' check-ins were not confirmed"
}

# start_client NAME NODE [NAME=VALUE...]
# Starts it in the background; `wait_clients` waits for all of them.
client_pids=()
start_client() {
  "$standin" client name="$1" to="127.0.$net.$2:8548" host="$host" key="$api_key" \
    record="$record" "${@:3}" 2>>"$dir/client.log" & client_pids+=($!)
  pids+=($!)
}
wait_clients() {
  for pid in "${client_pids[@]}"; do wait "$pid" || true; done
  client_pids=()
}
