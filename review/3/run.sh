#!/bin/sh
# More work units end on one worker during an outage of the store than one answer lists.
# TROUBLE=0 leaves the disruption out; the rule has to hold then.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] && [ -x target/release/jacinthhoistd ] || exit 2
if [ "${TROUBLE:-1}" = 0 ]; then
    trouble=without-trouble
else
    trouble=with-trouble
fi
target/review/standin many-ends review/3 "$trouble"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
