#!/bin/sh
# A worker with many work units of one submission crashes.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] && [ -x target/release/jacinthhoistd ] || exit 2
target/review/standin many-losses review/1
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
