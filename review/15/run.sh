#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
trouble=${TROUBLE:-1}
cd "$(dirname "$0")/../.." || exit 2
standin=target/review-3/release/review-standin-3
daemon=target/release/jacinthhoistd
[ -x "$standin" ] && [ -x "$daemon" ] || exit 2
ulimit -n "$(ulimit -H -n)" 2>/dev/null
folder=$(mktemp -d) || exit 2
"$standin" attempts "$daemon" "$folder" review/15/record.txt "$trouble" &
child=$!
# The stand-in ends the processes that it has started.
trap 'kill "$child" 2>/dev/null; wait "$child"; rm -rf "$folder"; exit 2' INT TERM HUP
wait "$child"
code=$?
rm -rf "$folder"
[ "$code" -le 2 ] || code=2
exit "$code"
