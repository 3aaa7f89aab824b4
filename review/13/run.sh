#!/bin/bash
# Plays the case with real proxies on loopback addresses. Needs the build of the deploy file
# and review/build-3.sh. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0: without the disruptions.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
directory=$(mktemp -d) || exit 2
trap 'rm -rf "$directory"' EXIT
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
target/review-standin-3 --directory="$directory" --record="$here/record.txt" --trouble=$trouble --case=joins
