#!/usr/bin/env bash
# Writes a variant of a site file of the users' bench to standard output.
# Usage: derive-site.sh KIND SITE. The bench needs its wire.json in the directory
# of the new file.
set -eu
kind=$1 site=$2
# scale FACTOR: multiplies each per_s rate of the site file on standard input.
scale() { awk -v f="$1" '{ while (match($0, /per_s = [0-9.]+/)) { v = substr($0, RSTART + 8, RLENGTH - 8);
  printf "%sper_s = %.1f", substr($0, 1, RSTART - 1), v * f; $0 = substr($0, RSTART + RLENGTH) } print }'; }
case $kind in
# One slot per server and a quarter of the load.
one-slot) sed 's/slots = [0-9]*, queue/slots = 1, queue/' "$site" | scale 0.25 ;;
# Mean replication lag of 0.9 s, at most 3 s, and half of the load.
far-behind) sed 's/lag_ms = { mean = [0-9.]*, \(.*\)max = [0-9.]* }/lag_ms = { mean = 900.0, \1max = 3000.0 }/' "$site" | scale 0.5 ;;
# Four times as many databases with the same total load.
many-services) sed 's/copies = 3, idle/copies = 12, idle/' "$site" ;;
# Three times as many front machines with the same servers.
hundred) awk '/class = "front"/ && /count = / && !/^small/ { match($0, /count = [0-9]+/); n = substr($0, RSTART + 8, RLENGTH - 8)
  $0 = substr($0, 1, RSTART - 1) "count = " n * 3 substr($0, RSTART + RLENGTH) } { print }' "$site" ;;
# All machines in the first data centre, without faults that isolate a data centre.
one-centre) first=$(sed -n 's/^ *{ name = "\([^"]*\)", region.*/\1/p' "$site" | head -1)
  others=$(sed -n 's/^ *{ name = "\([^"]*\)", region.*/\1/p' "$site" | tail -n +2 | paste -sd '|')
  sed -E "/^ *\{ name = \"($others)\", region/d; /kind = \"zone_cut\"/d; s/\"($others)\"/\"$first\"/g" "$site" ;;
*) echo "derive-site.sh: one-slot, far-behind, many-services, hundred or one-centre" >&2; exit 2 ;;
esac
