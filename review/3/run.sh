#!/usr/bin/env bash
# DRAIN: a node confirms that its upstream leaves, is killed and started again, takes a late check-in
# of that upstream for news, and sends it requests again. TROUBLE=0: the node isn't killed.
cd "$(dirname "$0")/../.." || exit 2
. review/common.sh
key=6wsjnbanfqasnmgkcuyj
drain_ms=2000
stable_ms=3000

start_store
put_config "$case_dir/config.json"
start_node n1 z1 huvo11a
start_node n2 z2 wuno96b
start_node n3 z3 wuno96b
for n in n1 n2 n3; do wait_until 15 is_ready $n || fail_to_run "node $n is not ready"; done
start_upstream i-1 n1 huvo11a z1
start_upstream i-2 n2 wuno96b z2 --late 4000
start_upstream i-3 n3 wuno96b z3
served() {
  "$standin" client --name probe --to "${outbound[n1]}" --host jepu9.example --key $key \
    --method POST --target '/xapu221/probe?work=20&size=10' --deadline 1000 \
    --record "$dir/probe" && grep -q 'line="HTTP/1.1 200' "$dir/probe"
}
wait_until 15 served || fail_to_run "no request is served"

start_client r n1 --host jepu9.example --key $key --method POST \
  --target '/xapu221/2f?work=200&size=500' --deadline 8000 --keep 1 --parallel 4 --count 400 --gap 50
sleep 4
grep -q 'upstream i-2 begins' "$record" || fail_to_run "no request ran at i-2"
kill -USR2 "${pid_of[i-2]}"
wait_until 5 grep -q 'i-2 deregister status=200' "$record" || fail_to_run "no confirmation"
restarted=0
if [ "$trouble" != 0 ]; then
  sleep 0.3
  stop_process n2 KILL
  sleep 0.3
  start_node n2 z2 wuno96b no
  restarted=$(awk '/script node n2 started/ {t = $1} END {print t}' "$record")
fi
sleep 9
note "upstream i-2 ends"
kill -KILL "${pid_of[i-2]}"
sleep 1
stop_process client-r TERM

# Counts what is sent and runs at i-2 later than drain_s after the confirmation, and only once n2 has run for
# stable_s again. n1, which takes the requests from the clients, is undisturbed all the while.
confirmed=$(awk '/i-2 deregister status=200/ {print $1; exit}' "$record")
from=$((confirmed + drain_ms))
[ $((restarted + stable_ms)) -gt $from ] && from=$((restarted + stable_ms))
late=$(awk -v from="$from" '/client sends/ {sent[$4] = $1}
  /upstream i-2 begins/ && sent[$5] > from' "$record" | grep -c .)
ends=$(awk '/script upstream i-2 ends/ {print $1}' "$record")
lost=$(awk -v end="$ends" '/client / && / sent=/ && $1 >= end - 5 && !/line="HTTP\/1.1 (200|503|429)/' "$record" | grep -c .)
note "result: $late requests ran at i-2 after $from, $lost of the clients' requests failed at its end"
echo "requests that ran at the upstream later than drain_s after the confirmation: $late"
[ "$late" = 0 ]
