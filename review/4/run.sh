#!/bin/sh
# An idle worker starts again under its id, and is cut off later while it runs a work unit.
# TROUBLE=0 leaves the disruption out; the rule has to hold then.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] && [ -x target/release/jacinthhoistd ] || exit 2
if [ "${TROUBLE:-1}" = 0 ]; then
    trouble=without-trouble
else
    trouble=with-trouble
fi
target/review/standin old-clock review/4 "$trouble"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
