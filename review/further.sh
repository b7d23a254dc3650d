#!/bin/sh
# Plays a fault that is described in REPORT.md but is no case: further.sh NAME. Same exit status and TROUBLE as a case's run.sh.
# The record goes to RECORD, if that is set.
here=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$here/.." && pwd)
RECORD=${RECORD:-/dev/null}
export ROOT RECORD
[ -x "$here/bin/$1" ] || "$here/build.sh" || exit 2
[ -x "$ROOT/bin/wrenspread-proxy" ] || { echo "could not run: the program is not built"; exit 2; }
exec "$here/bin/$1"
