#!/bin/sh
# A machine is cut off and its runner restarts behind the cut, while an order is carried out late.
# Exit status: 1 if the rule was broken, 0 if it was kept, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/daisywall-agent target/daisywall-entry target/review-standin3; do
  [ -x "$program" ] || { echo "$program is missing: run the build of deploy/system.toml and review/build-3.sh"; exit 2; }
done
exec target/review-standin3 reborn review/15/record.txt
