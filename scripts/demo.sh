#!/usr/bin/env bash
# Starts a complete local set-up, runs the workloads of both deployments, kills a
# primary half-way and checks every consistency promise. Usage: scripts/demo.sh [duration]
set -eu
cd "$(dirname "$0")/.."
. scripts/setup.sh
trap stop_all EXIT
start_all
"$bin/cranberrystage-bench" demo \
  --proxy "$(address 6432)" --proxy "$(address 6433)" --proxy "$(address 6434)" \
  --batbayar-user shop --batbayar-password shop-demo \
  --batbayar-database stock-ledger/stock1 --batbayar-database stock-ledger/stock2 --batbayar-database stock-ledger/stock3 \
  --agency-user crew --agency-password crew-demo \
  --agency-database chantiers-db/chantiers1 --agency-database chantiers-db/chantiers2 --agency-database chantiers-db/chantiers3 \
  --duration "${1:-20s}" \
  --kill-primary-of "$(address 7111)=$(pid server-stock1-a)" \
  --kill-primary-of "$(address 7112)=$(pid server-stock1-b)" \
  --kill-primary-of "$(address 7113)=$(pid server-stock1-c)"
