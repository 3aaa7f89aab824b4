#!/usr/bin/env bash
# Measures the baseline: runs the agency workload through a naive proxy and kills
# its primary half-way. Usage: scripts/naive.sh [duration in seconds]
set -eu
cd "$(dirname "$0")/.."
. scripts/setup.sh
trap stop_all EXIT
start_all
seconds=${1:-14}
start naive "$bin/cranberrystage-bench" naive --listen "$(address 6435)" --primary "$(address 7211)"
sleep 0.5
(sleep $((seconds / 2)) && kill -9 "$(pid server-chantiers1-a)") &
"$bin/cranberrystage-bench" load --workload agency --proxy "$(address 6435)" --database chantiers-db/chantiers1 \
  --user crew --rate "${RATE:-100}" --duration "${seconds}s" --seed "${SEED:-1}" --drain 5s || true
