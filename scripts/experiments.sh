#!/usr/bin/env bash
# Runs experiments, each on a set-up of its own: separate processes under both
# deployments' workloads, one fault, and a check of every promise.
# Usage: scripts/experiments.sh [names...]; without names it runs all.
# SEED, RATE, DURATION and PORT_OFFSET may be set; OUT is where logs, reports
# and histories go.
set -eu
cd "$(dirname "$0")/.."
out=${OUT:-$(mktemp -d)}
seed=${SEED:-1}
# A run that has not ended by then is stopped and counts as failed.
limit=${LIMIT:-200}
all="undisturbed primary-killed primary-frozen primary-isolated primary-slow connections-silent
replica-stopped replicas-late proxy-killed proxy-terminated proxy-paused platform-down platform-slow
conflicting-confirms configuration late-proxy drain-replica drain-primary overload"

# field FILE NAME: prints the value of a text field of a settings file.
field() { sed -n 's/.*"'"$2"'": "\([^"]*\)".*/\1/p' "$1" | head -n 1; }

# endpoints: prints the flags that tell the tool about processes.
endpoints() {
  local f id n
  for f in "$run_dir"/server-*.jsonc; do
    id=$(basename "$f" .jsonc)
    id=${id#server-}
    echo --server "${id%-*}/$id=$(field "$f" listen),$(field "$f" control),$(pid "server-$id")"
  done
  for n in 1 2 3; do
    echo --proxy "$(at $((6431 + n)))" --proxy-process "$(at $((6431 + n))),$(at $((6631 + n))),$(pid "proxy-$n")"
  done
}

# run_one NAME: runs one experiment; the report goes to standard output.
run_one() (
  RUN_DIR="$out/$1-$seed"
  mkdir -p "$RUN_DIR"
  if [ "$1" = late-proxy ]; then
    LATE=proxy-4
    DATA_CENTRES=ub-east,tunis,ub-east,tunis
  fi
  . scripts/setup.sh
  trap stop_all EXIT
  set_up
  late_admin=""
  if [ -n "$late" ]; then
    late_admin="--late-admin $(at 6635)"
    (sleep 6 && start "$late" "$bin/cranberrystage-proxy" "$run_dir/$late.jsonc") &
  fi
  timeout "$limit" "$bin/cranberrystage-bench" experiment "$1" $(endpoints) $late_admin \
    --platform "$(at 7001)" --control-settings "$run_dir/ctl.jsonc" \
    --batbayar-user shop --batbayar-password shop-demo \
    --batbayar-database stock-ledger/stock1 --batbayar-database stock-ledger/stock2 --batbayar-database stock-ledger/stock3 \
    --agency-user crew --agency-password crew-demo \
    --agency-database chantiers-db/chantiers1 --agency-database chantiers-db/chantiers2 --agency-database chantiers-db/chantiers3 \
    --rate "${RATE:-100}" --duration "${DURATION:-14s}" --seed "$seed" --history "$run_dir/history.jsonl" 2>"$run_dir/progress.log"
)

failed=0
passed=0
for name in ${*:-$all}; do
  echo "== $name, seed $seed"
  if run_one "$name"; then passed=$((passed + 1)); else
    failed=$((failed + 1))
    echo "experiment $name failed"
  fi
done
echo "logs and histories: $out"
echo "$passed experiments passed, $failed failed"
[ "$failed" = 0 ]
