#!/usr/bin/env bash
# Plays the users' sites with their bench and compares the mean worth of the days
# with trouble with a floor: the baseline of the large fleets less 0.03, the bench's
# noise. The oldest sites come last.
# Usage: regress.sh FLEETBENCH SITES WHY. FLEETBENCH is the bench's path, SITES the
# folder with the folders of sites, and WHY the line for the journal. Exits with 1 if
# a site misses its floor or its gate.
set -eu
bench=$1 sites=$2 why=$3
# Site and floor; quick scores of days trouble-1 and scale-1.
floors="
large/batbayar-stock-large 0.763
further-grown/cvjetnica-crm-grown 0.761
further/cvjetnica-crm 0.846
grown/ansc-chantiers-grown 0.866
grown/batbayar-stock-grown 0.794
sites/ansc-chantiers 0.843
sites/batbayar-stock 0.776
"
failed=0
while read -r site floor; do
  [ -n "$site" ] || continue
  out=$("$bench" score "$sites/$site.toml" --quick --why "$why") || true
  mean=$(awk '$1 ~ /^(trouble|scale)-/ && $2 ~ /\// { sum += $4; n++ } END { printf "%.3f", n ? sum / n : 0 }' <<<"$out")
  gate=$(grep -c '^GATE passed' <<<"$out" || true)
  verdict=ok
  if [ "$gate" = 0 ] || awk -v mean="$mean" -v floor="$floor" 'BEGIN { exit mean >= floor }'; then
    verdict=FAILED failed=1
  fi
  printf '%-36s worth %s, floor %s, gate passed: %s  %s\n' "$site" "$mean" "$floor" "$gate" "$verdict"
done <<<"$floors"
exit "$failed"
