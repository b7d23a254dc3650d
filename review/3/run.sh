#!/bin/sh
# A new version under load while discovery is down. Exit status: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$here/../.." && pwd)
RECORD=$here/record.txt
export ROOT RECORD
[ -x "$here/../bin/upgrade-outage" ] || "$here/../build.sh" || exit 2
[ -x "$ROOT/bin/wrenspread-proxy" ] || { echo "could not run: the program is not built"; exit 2; }
exec "$here/../bin/upgrade-outage"
