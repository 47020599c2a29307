#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
command -v python3 >/dev/null && command -v timeout >/dev/null || exit 2
export PYTHONDONTWRITEBYTECODE=1
timeout -k 2 116 python3 review/2/case.py &
child=$!
trap 'kill -TERM "$child" 2>/dev/null' TERM INT HUP
while :; do
    wait "$child"
    code=$?
    kill -0 "$child" 2>/dev/null || break
done
case $code in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
