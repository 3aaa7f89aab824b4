# Functions that start a complete set-up on this machine: the emulated platform,
# one process per database server and three proxies, with the sample declarations
# planned and confirmed by an operator. Other scripts source this file.

# Directory for the settings, logs and process ids of the set-up.
run_dir=${RUN_DIR:-$(mktemp -d)}
bin=${BIN:-bin}
# Added to every port, so that several set-ups can run concurrently. Outgoing
# connections may use ports above 32767, so the maximum is 24000.
offset=${PORT_OFFSET:-0}
# Range of the ports without offset.
lowest_port=6432
highest_port=8233
# Data centres, separated by commas, with one proxy for each. The proxy named by
# LATE is not started here; the calling script starts it.
data_centres=${DATA_CENTRES:-ub-east,tunis,ub-east}
late_proxy=${LATE:-}
declarations="deploy/batbayar deploy/agency"

# port NUMBER: prints the port for a port number without offset.
port() { echo $(($1 + offset)); }

# address NUMBER: prints the IP:port for a port number without offset.
address() { echo "127.0.0.1:$(port "$1")"; }

# start NAME COMMAND...: runs a command in the background and writes its output
# to a log file.
start() {
  local name=$1
  shift
  "$@" >"$run_dir/$name.log" 2>&1 &
  echo $! >"$run_dir/$name.pid"
  disown # keeps the shell from printing a message when the process is killed
}

# pid NAME: prints the process id of a command that start has started.
pid() { cat "$run_dir/$1.pid"; }

# report_stopped: fails if a started process has stopped, and prints the last
# line of its log.
report_stopped() {
  local f name stopped=0
  for f in "$run_dir"/*.pid; do
    kill -0 "$(cat "$f")" 2>/dev/null && continue
    name=$(basename "$f" .pid)
    echo "$name has stopped: $(tail -n 1 "$run_dir/$name.log")" >&2
    stopped=1
  done
  return $stopped
}

# warn_ephemeral_ports: prints a warning if the ports of the set-up overlap with
# those that the system uses for outgoing connections.
warn_ephemeral_ports() {
  local first last
  read -r first last </proc/sys/net/ipv4/ip_local_port_range 2>/dev/null || return 0
  if [ "$(port "$highest_port")" -ge "$first" ] && [ "$(port "$lowest_port")" -le "$last" ]; then
    echo "the ports with PORT_OFFSET=$offset overlap with ports $first-$last, which outgoing connections use; if a process fails to start, set PORT_OFFSET to at most $((first - highest_port - 1))" >&2
  fi
}

# stop_all: terminates every started process by its id, and waits up to 5 s for
# each.
stop_all() {
  local f i
  for f in "$run_dir"/*.pid; do
    kill "$(cat "$f")" 2>/dev/null || true
  done
  for f in "$run_dir"/*.pid; do
    for i in $(seq 1 100); do
      kill -0 "$(cat "$f")" 2>/dev/null || break
      sleep 0.05
    done
  done
  [ -n "${RUN_DIR:-}" ] || rm -rf "$run_dir"
}

# http_status PORT PATH: requests a path on this machine and prints the status
# line of the HTTP response.
http_status() {
  local line
  exec 3<>"/dev/tcp/127.0.0.1/$1" || return 1
  printf 'GET %s HTTP/1.0\r\n\r\n' "$2" >&3
  read -r -t 1 line <&3 || line=""
  exec 3>&-
  printf '%s\n' "$line"
}

# wait_for_http PORT PATH: waits until a path on this machine responds with HTTP
# status 200.
wait_for_http() {
  local i
  for i in $(seq 1 200); do
    case "$(http_status "$1" "$2" 2>/dev/null)" in *" 200 "*) return 0 ;; esac
    sleep 0.05
  done
  echo "no successful response from port $1" >&2
  report_stopped || true
  return 1
}

# start_all: starts all processes and returns once the proxies are ready.
start_all() {
  warn_ephemeral_ports
  "$bin/cranberrystage-standin" layout --out "$run_dir" --port-offset "$offset" --data-centres "$data_centres" $declarations
  local f name n
  start platform "$bin/cranberrystage-standin" serve "$run_dir/platform.jsonc"
  for f in "$run_dir"/server-*.jsonc; do
    name=$(basename "$f" .jsonc)
    start "$name" "$bin/cranberrystage-standin" serve "$f"
  done
  wait_for_http "$(port 7001)" /vms
  local id
  id=$("$bin/cranberrystage-ctl" --settings "$run_dir/ctl.jsonc" --json plan "$run_dir/declarations" | sed -n 's/.*"id": *"\([0-9a-f]*\)".*/\1/p' | head -n 1)
  "$bin/cranberrystage-ctl" --settings "$run_dir/ctl.jsonc" confirm "$id" >"$run_dir/confirm.log"
  for f in "$run_dir"/proxy-*.jsonc; do
    name=$(basename "$f" .jsonc)
    [ "$name" != "$late_proxy" ] || continue
    start "$name" "$bin/cranberrystage-proxy" "$f"
  done
  for n in 6632 6633 6634; do
    wait_for_http "$(port "$n")" /readyz
  done
  report_stopped
}
