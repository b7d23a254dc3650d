#!/bin/sh
# Plays the case; TROUBLE=0 plays it without the disruption. 1: the rule was broken, 0: it held, 2: it could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/review-2/slowpieces ] && [ -x bin/wrenspread-proxy ] || { echo "build first: deploy/balancer.toml, review/build-2.sh"; exit 2; }
exec bin/review-2/slowpieces review/10
