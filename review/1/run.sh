#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
child=
trap 'test -n "$child" && kill "$child"' TERM INT
python3 "$(dirname "$0")/case.py" &
child=$!
wait "$child"
code=$?
while kill -0 "$child" 2>/dev/null; do
    wait "$child"
    code=$?
done
case $code in
    10) exit 0 ;;
    11) exit 1 ;;
    *) exit 2 ;;
esac
