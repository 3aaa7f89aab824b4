#!/usr/bin/env bash
# Writes one day file for each pair of a site's troubles (faults). The two faults
# of a pair overlap twice during the day, once in each order.
# Usage: pair-days.sh SITE DIR [EVERY [FIRST]]; it writes each EVERY-th pair,
# starting with pair FIRST. Run a day with the users' bench: fleetbench run SITE
# DIR/FILE.
set -eu
site=$1 dir=$2 every=${3:-1} first=${4:-0}
mkdir -p "$dir"
awk -v dir="$dir" -v every="$every" -v first="$first" '
/^troubles = \[/ { inside = 1; next }
/^\]/ { inside = 0 }
inside { sub(/^ *\{ /, ""); sub(/ \},? *$/, ""); list[n++] = $0 }
END {
  for (i = 0; i < n; i++) for (j = i + 1; j < n; j++) {
    if (pair++ % every != first) continue
    file = sprintf("%s/pair-%02d-%02d.toml", dir, i, j)
    printf "[[day]]\nname = \"own-pair-%02d-%02d\"\nslot = \"trouble\"\nseed = %d\nlength_s = 34.0\nplan = []\nfaults = [\n", i, j, 7000 + pair > file
    printf "  { at = 5.0, %s },\n  { at = 6.5, %s },\n", list[i], list[j] > file
    printf "  { at = 17.0, %s },\n  { at = 18.5, %s },\n]\n", list[j], list[i] > file
    close(file)
  }
}' "$site"
