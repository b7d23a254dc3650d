#!/bin/sh
# Backends that hang while long requests are sent to them. Exit status: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$here/../.." && pwd)
RECORD=$here/record.txt
export ROOT RECORD
[ -x "$here/../bin/stalled-upload" ] || "$here/../build.sh" || exit 2
[ -x "$ROOT/bin/wrenspread-proxy" ] || { echo "could not run: the program is not built"; exit 2; }
exec "$here/../bin/stalled-upload"
