#!/usr/bin/env bash
# Compares direct access, the proxy and a naive proxy in one run over the whole
# set-up.
set -eu
cd "$(dirname "$0")/.."
. scripts/setup.sh
trap stop_all EXIT
set_up
"$bin/cranberrystage-bench" cost \
  --direct "$(at 7111)" --direct "$(at 7112)" --direct "$(at 7113)" \
  --proxy "$(at 6432)" --database stock-ledger/stock1 \
  --user shop --password shop-demo --connections "${CONNECTIONS:-3}" --duration "${1:-2s}"
# Allocations, and memory of idle callers, in one process without latencies.
go test ./internal/pgsession -run '^$' -bench Path -benchtime 20000x
go test ./internal/pgsession -run '^$' -bench IdleCallers -benchtime 1x
