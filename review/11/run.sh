#!/bin/bash
# New versions of the configuration split a route and join it again.
# Needs target/ryecourse (the build of the deploy file) and review/build-3.sh. TROUBLE=0 leaves the
# disruption out. Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/ryecourse ] && [ -x target/review3/standin3 ] || { echo "build first" >&2; exit 2; }
RECORD="$here/record.txt" timeout -k 2 110 target/review3/standin3 split
status=$?
[ $status -le 2 ] || status=2
exit $status
