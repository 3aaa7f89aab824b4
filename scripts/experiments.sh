#!/usr/bin/env bash
# Runs experiments. Each uses a new local set-up of separate processes under the
# workloads of both deployments, injects one fault and checks every consistency
# promise.
# Usage: scripts/experiments.sh [names...]; without names it runs all.
# SEED, RATE, DURATION, LIMIT and PORT_OFFSET may be set; OUT is the directory
# for logs, reports and histories.
set -eu
cd "$(dirname "$0")/.."
out=${OUT:-$(mktemp -d)}
seed=${SEED:-1}
# Seconds after which a run is stopped and counts as failed.
limit=${LIMIT:-200}
all="undisturbed primary-killed primary-frozen primary-isolated primary-slow connections-silent
replica-stopped replicas-late proxy-killed proxy-terminated proxy-paused platform-down platform-slow
conflicting-confirms configuration late-proxy drain-replica drain-primary overload"

# setting FILE NAME: prints the value of a string setting of a settings file.
setting() { sed -n 's/.*"'"$2"'": "\([^"]*\)".*/\1/p' "$1" | head -n 1; }

# process_flags: prints the flags that describe the servers and proxies to the tool.
process_flags() {
  local f id n
  for f in "$run_dir"/server-*.jsonc; do
    id=$(basename "$f" .jsonc)
    id=${id#server-}
    echo --server "${id%-*}/$id=$(setting "$f" listen),$(setting "$f" control),$(pid "server-$id")"
  done
  for n in 1 2 3; do
    echo --proxy "$(address $((6431 + n)))" --proxy-process "$(address $((6431 + n))),$(address $((6631 + n))),$(pid "proxy-$n")"
  done
}

# run_one NAME: runs one experiment and prints its report.
run_one() (
  RUN_DIR="$out/$1-$seed"
  mkdir -p "$RUN_DIR"
  if [ "$1" = late-proxy ]; then
    LATE=proxy-4
    DATA_CENTRES=ub-east,tunis,ub-east,tunis
  fi
  . scripts/setup.sh
  trap stop_all EXIT
  start_all
  late_admin=""
  if [ -n "$late_proxy" ]; then
    late_admin="--late-admin $(address 6635)"
    # By then the experiment has made the platform unavailable. It fails if the
    # proxy runs earlier.
    (sleep 6 && start "$late_proxy" "$bin/cranberrystage-proxy" "$run_dir/$late_proxy.jsonc") &
  fi
  timeout "$limit" "$bin/cranberrystage-bench" experiment "$1" $(process_flags) $late_admin \
    --platform "$(address 7001)" --control-settings "$run_dir/ctl.jsonc" \
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
