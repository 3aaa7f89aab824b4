#!/usr/bin/env bash
# Compares direct access, the proxy and a naive proxy in one run on a complete
# local set-up. Usage: scripts/bench.sh [duration of one measurement]
# CONNECTIONS may be set.
set -eu
cd "$(dirname "$0")/.."
. scripts/setup.sh
trap stop_all EXIT
start_all
"$bin/cranberrystage-bench" cost \
  --direct "$(address 7111)" --direct "$(address 7112)" --direct "$(address 7113)" \
  --proxy "$(address 6432)" --database stock-ledger/stock1 \
  --user shop --password shop-demo --connections "${CONNECTIONS:-3}" --duration "${1:-2s}"
# Measures allocations and the memory of idle callers with all parts in one
# process, without emulated latencies.
go test ./internal/pgsession -run '^$' -bench Path -benchtime 20000x
go test ./internal/pgsession -run '^$' -bench IdleCallers -benchtime 1x
