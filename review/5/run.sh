#!/bin/sh
# A twentieth of the submissions can never be done; then demand rises for some seconds.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] && [ -x target/release/jacinthhoistd ] || exit 2
target/review/standin queue review/5
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
