#!/usr/bin/env bash
# Needs the build of the deploy file and review/build.sh. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves the disruption out. KEEP_LOGS=1 keeps the logs of the processes.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] && [ -x target/platform/marigold-node ] || exit 2
export TROUBLE="${TROUBLE:-1}"
timeout 115 target/review/standin waiting-after-crash review/5
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
