# Functions for the scripts of the cases. Source this file from the root of the repository after the
# build of the deploy file and review/build.sh. Each script runs a small fleet on loopback addresses:
# the nodes with the command of the deploy file, the store, the upstreams and the clients as
# stand-ins. Times in the record are milliseconds of the monotonic clock, the same in all processes.
set -uo pipefail
# A case runs for 120 s at most; one that takes longer could not run.
[ -n "${UNDER_LIMIT:-}" ] || UNDER_LIMIT=1 exec timeout --preserve-status -k 5 110 "$0" "$@"
standin=target/review/standin
case_dir=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
record=${RECORD:-$case_dir/record.txt}
trouble=${TROUBLE:-1}
dir=$(mktemp -d)
declare -A pid_of
ports=()
: >"$record"

cleanup() {
  for pid in "${pid_of[@]}"; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
  for pid in "${pid_of[@]}"; do wait "$pid" 2>/dev/null; done
  rm -rf "$dir"
}
trap cleanup EXIT
trap 'exit 2' INT TERM

note() { "$standin" note --record "$record" --text "$*"; }
fail_to_run() { note "could not run: $*"; echo "could not run: $*" >&2; exit 2; }

[ -x target/node ] && [ -x "$standin" ] || fail_to_run "build the deploy file and review/build.sh first"
mapfile -t ports < <("$standin" ports --count 100)
next_port=0
take_port() {
  port=${ports[$next_port]:-}
  [ -n "$port" ] || fail_to_run "no port is left"
  next_port=$((next_port + 1))
}

# wait_until SECONDS COMMAND...
# Repeats the command until it succeeds; false if that takes too long.
wait_until() {
  local end=$((SECONDS + $1))
  shift
  until "$@"; do [ $SECONDS -ge $end ] && return 1; sleep 0.05; done
}

start_store() {
  take_port
  store=127.0.0.1:$port
  "$standin" store --port "$port" --record "$record" & pid_of[store]=$!
  wait_until 10 store_answers || fail_to_run "the store does not answer"
}
store_answers() { [ "$("$standin" call --to "$store" --target '/v1/kv-range?prefix=x' | cut -c1-3)" = 200 ]; }

# put_config FILE
put_config() {
  "$standin" call --to "$store" --method POST --target /test/config --body-file "$1" >/dev/null ||
    fail_to_run "the configuration was not written"
}

# start_node NAME ZONE SERVICE [FIRST_START]
# Starts a node with the settings that the template of the deploy file gives. A second call with the
# same name starts it again, as the platform does after a kill.
declare -A outbound control ready app
start_node() {
  local name=$1 zone=$2 service=$3 first=${4:-yes}
  if [ -z "${outbound[$name]:-}" ]; then
    take_port; outbound[$name]=127.0.0.1:$port
    take_port; control[$name]=127.0.0.1:$port
    take_port; ready[$name]=127.0.0.1:$port
    take_port; app[$name]=127.0.0.1:$port
    take_port; local links=127.0.0.1:$port
    take_port; local metrics=127.0.0.1:$port
    cat >"$dir/$name.yaml" <<INI
[node]
platform = yes
first_start = $first
vm = $name
failure_domain = $zone
region = svealand
callers = ${outbound[$name]}
control = ${control[$name]}
ready = ${ready[$name]}
links = $links
metrics = $metrics
store = $store
backend_server = ${app[$name]}
service = $service
$(sed -n '/^revoke_within/,$p' deploy/node.ini.in | sed -e '/^{{[#\/]/d' -e 's/{{\.}}/@/' |
  sed -e 's/^\(revoke_within = \)@/\15/' -e 's/^\(stop_grace = \)@/\16/' \
      -e 's/^\(retry_share = \)@/\10.2/' -e 's/^\(fleet_retries = \)@/\164/' \
      -e 's/^\(fleet_retry_window = \)@/\110/' -e 's/^\(rate_slack = \)@/\120/')
INI
  fi
  sed -i "s/^first_start = .*/first_start = $first/" "$dir/$name.yaml"
  JASMINEBANK_BOOT=$dir/$name.yaml target/node --settings "$dir/$name.yaml" >>"$dir/$name.log" 2>&1 & pid_of[$name]=$!
  note "node $name started"
}
is_ready() { [ "$("$standin" call --to "${ready[$1]}" --target /v1/readyz 2>/dev/null | cut -c1-3)" = 200 ]; }

# start_upstream ID NODE SERVICE ZONE [OPTION...]
start_upstream() {
  local id=$1 node=$2 service=$3 zone=$4
  shift 4
  "$standin" upstream --id "$id" --listen "${app[$node]}" --control "${control[$node]}" \
    --service "$service" --zone "$zone" --record "$record" "$@" & pid_of[$id]=$!
}

# client NAME NODE [OPTION...]; start_client does the same in the background.
client() {
  local name=$1 node=$2
  shift 2
  timeout 60 "$standin" client --name "$name" --to "${outbound[$node]}" --record "$record" "$@"
}
start_client() {
  local name=$1 node=$2
  shift 2
  "$standin" client --name "$name" --to "${outbound[$node]}" --record "$record" "$@" &
  pid_of[client-$name]=$!
}

# knows NODE SERVICE COUNT: whether the node can send to that many upstreams of the service.
knows() {
  "$standin" call --to "${control[$1]}" --target /status 2>/dev/null | grep -q "\"$2\":$3"
}
stop_process() { kill "-$2" "${pid_of[$1]}" 2>/dev/null; note "sent SIG$2 to $1"; }
