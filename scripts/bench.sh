#!/usr/bin/env bash
# Compares direct access, the proxy and a naive proxy in one run over the whole
# set-up.
set -eu
cd "$(dirname "$0")/.."
. scripts/setup.sh
trap stop_all EXIT
set_up
"$bin/cranberrystage-bench" cost \
  --direct 127.0.0.1:7111 --direct 127.0.0.1:7112 --direct 127.0.0.1:7113 \
  --proxy 127.0.0.1:6432 --database stock-ledger/stock1 \
  --user shop --password shop-demo --connections "${CONNECTIONS:-3}" --duration "${1:-2s}"
