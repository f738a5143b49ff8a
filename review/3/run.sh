#!/bin/sh
# More work units end on one worker during an outage of the store than one answer lists.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] && [ -x target/release/jacinthhoistd ] || exit 2
target/review/standin many-ends review/3
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
