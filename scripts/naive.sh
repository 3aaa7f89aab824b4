#!/usr/bin/env bash
# The baseline of measurements: the agency's mix through a naive proxy, whose
# primary is killed half-way. Usage: scripts/naive.sh [duration in seconds]
set -eu
cd "$(dirname "$0")/.."
. scripts/setup.sh
trap stop_all EXIT
set_up
seconds=${1:-14}
start naive "$bin/cranberrystage-bench" naive --listen "$(at 6435)" --primary "$(at 7211)"
sleep 0.5
(sleep $((seconds / 2)) && kill -9 "$(pid server-chantiers1-a)") &
"$bin/cranberrystage-bench" load --workload agency --proxy "$(at 6435)" --database chantiers-db/chantiers1 \
  --user crew --rate "${RATE:-100}" --duration "${seconds}s" --seed "${SEED:-1}" --drain 5s || true
