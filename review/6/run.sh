#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the kill of the agent, OTHER=0 the second runner.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/standin ] && [ -x target/daisywall-agent ] && [ -x target/daisywall-entry ] || exit 2
args=(-programs target -record review/6/record.txt)
[ "${TROUBLE:-1}" = 0 ] && args+=(-trouble=false)
[ "${OTHER:-1}" = 0 ] && args+=(-other=false)
exec target/review-2/standin "${args[@]}"
