#!/usr/bin/env bash
# Case 7: clients that leave while their requests wait for a slot end the process of the gate. See
# claim.txt. TROUBLE=0: the same requests, but no client leaves.
set -euo pipefail
cd "$(dirname "$0")/../.."
share=$([ "${TROUBLE:-1}" = 0 ] && echo 0 || echo 0.3)
CASE_TMP=$(mktemp -d)
export CASE_TMP
trap 'rm -rf "$CASE_TMP"' EXIT
status=0
PYTHONDONTWRITEBYTECODE=1 timeout -k 5 112 python3 review/7/waves.py 95 "$share" "${RECORD:-review/7/record.txt}" 2>"$CASE_TMP/errors" || status=$?
((status <= 1)) && exit "$status"
echo "the case could not run" >&2
tail -n 5 "$CASE_TMP/errors" >&2
exit 2
