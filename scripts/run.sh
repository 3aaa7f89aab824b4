#!/usr/bin/env bash
# Starts a complete local set-up and runs it until interrupted.
set -eu
cd "$(dirname "$0")/.."
. scripts/setup.sh
trap stop_all EXIT
trap 'exit 0' INT TERM
start_all
cat <<TEXT
Proxies for callers: $(address 6432), $(address 6433), $(address 6434)
  psql 'host=127.0.0.1 port=$(port 6432) dbname=stock-ledger/stock1 user=shop password=shop-demo'
Status: bin/cranberrystage-ctl --settings $run_dir/ctl.jsonc status
Logs and settings: $run_dir
Interrupt to stop.
TEXT
# Sleeps in the background, because the shell handles a signal during wait
# immediately, but only after the end of a foreground command.
while :; do
  sleep 1 &
  wait $!
done
