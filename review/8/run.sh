#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/cranberrystage-entry ] && [ -x target/review-standin-2 ] || { echo "build first" >&2; exit 2; }
exec target/review-standin-2 --case 8 --dir review/8 --trouble="$([ "${TROUBLE:-1}" = 0 ] && echo false || echo true)"
