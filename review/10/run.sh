#!/usr/bin/env bash
# Case 10: after a kill of all nodes a request that is known to crash upstreams is passed on again. See
# claim.txt. TROUBLE=0: the same requests, but no node is killed.
set -euo pipefail
cd "$(dirname "$0")/../.."
case_dir=review/10
trouble=${TROUBLE:-1}
LIMIT=115
. review/common-2.sh

free_net
start_store
cat >"$dir/config.json" <<JSON
{"version": "00000007",
 "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3,
            "idle_timeout_s": 15},
 "tenants": [{"name": "tenant-a", "api_keys": ["$api_key"], "priority": 1, "rate_per_s": 0,
              "burst": 0}],
 "listeners": [{"host": "$host", "rules": [
   {"name": "r-lookups", "route_type": "safe", "target_latency_s": 1.2, "priority": 1,
    "public": false, "match": {"prefix": "/lookups/"},
    "action": {"service": "lookups", "timeout_s": 4, "attempts": 2}}]}],
 "clusters": [{"name": "lookups", "health_path": "/healthz", "max_connections": 390,
   "protocol": "h1", "tls": false}]}
JSON
put_config "$dir/config.json"
zones=(za zb zc za)
node_pids=()
# start_nodes FIRST_START
start_nodes() {
  node_pids=()
  for n in 1 2 3 4; do
    start_node "$n" "${zones[n - 1]}" lookups "$1"
    node_pids+=("$node_pid")
  done
  for n in 1 2 3 4; do wait_until 20 is_ready "$n" || cannot_run "node $n is not ready"; done
}
start_nodes yes
for n in 1 2 3 4; do start_upstream "$n" "${zones[n - 1]}" lookups work_ms=50 restart_s=2; done
wait_checked_in 4

# The request comes at node 1, then at nodes 2 and 3, once all machines are in touch (stable_s is 3)
# and the upstreams that crashed before are back.
for round in 0 1 2 3 4 5; do
  if ((round > 0 && trouble != 0)); then
    note "kills the processes of all nodes"
    kill -KILL "${node_pids[@]}"
    for pid in "${node_pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    sleep 0.5
    start_nodes no
    note "all nodes run again"
  fi
  sleep 6
  for n in 1 2 3; do
    start_client "round-$round-node-$n" "$n" connections=1 first=/lookups/first \
      path=/lookups/crash/1 pause_ms=100
    wait_clients
    sleep 1
  done
done

# Client attempts that reached upstreams, later than stable_s after the request crashed the third one.
read -r crashes late <<<"$(awk '$3 == "crashes" {n++; if (n == 3) third = $1
    if (n > 3 && $1 > third + 3 && !seen[$4]++) late++} END {print n + 0, late + 0}' "$record")"
refused=$(grep -c ' got round-.* 503$' "$record" || true)
((crashes >= 2 && refused >= 3)) || cannot_run "$crashes crashes, $refused refusals"
note "$crashes crashes, $refused refusals; $late retries reached upstreams later than 3 s after the" \
  "third crash (BUDGET: at most 3)"
broken=$((late > 3))
note "rule broken: $broken"
exit "$broken"
