#!/usr/bin/env bash
# Plays a scripted case: run-case.sh FOLDER CASE TROUBLE. Exits with 1 if the rule was
# broken, 0 if it held, and 2 if the case could not run. TROUBLE 0 leaves out the disruption.
set -u
folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/.." || exit 2
program=target/cranberrystage-entry
if [ ! -x "$program" ] || [ ! -x review/bin/standin ]; then
  echo "build first: the build line of deploy/system.toml, then review/build.sh"
  exit 2
fi
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
TROUBLE="$3" timeout 115 review/bin/standin "$2" "$program" "$folder/record.txt" "$work"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
