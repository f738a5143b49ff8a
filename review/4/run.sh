#!/bin/sh
# An idle worker starts again under its id, and is cut off later while it runs a work unit.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] && [ -x target/release/jacinthhoistd ] || exit 2
target/review/standin old-clock review/4
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
