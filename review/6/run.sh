#!/usr/bin/env bash
# Plays this case; see claim.txt. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/rooktrestle ] && [ -x bin/review-2 ] || { echo "not built"; exit 2; }
exec bin/review-2 memory review/6
