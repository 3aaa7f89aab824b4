#!/usr/bin/env bash
# Keeps the whole set-up running until it is interrupted.
set -eu
cd "$(dirname "$0")/.."
. scripts/setup.sh
trap stop_all EXIT
trap 'exit 0' INT TERM
set_up
cat <<TEXT
Proxies for callers: $(at 6432), $(at 6433), $(at 6434)
  psql 'host=127.0.0.1 port=$(port 6432) dbname=stock-ledger/stock1 user=shop password=shop-demo'
Status: bin/cranberrystage-ctl --settings $run_dir/ctl.jsonc status
Logs and settings: $run_dir
Interrupt to stop.
TEXT
# Sleeps in the background so that a signal is acted on at once.
while :; do
  sleep 1 &
  wait $!
done
