# Functions that start the whole set-up on this machine: the emulated platform,
# one process per database server, three proxies, and the sample declarations
# put in force by an operator's plan and confirm. Sourced by other scripts.

# Where settings, logs and process ids of the set-up go.
run_dir=${RUN_DIR:-$(mktemp -d)}
bin=${BIN:-bin}
# Added to every port, so that several set-ups can run side by side. Ports above
# 32767 may be taken by outgoing connections, so 24000 is the most.
offset=${PORT_OFFSET:-0}
# The range of the plain set-up's ports.
lowest_port=6432
highest_port=8233
# One proxy for each; the proxy named by LATE is left to the caller to start.
data_centres=${DATA_CENTRES:-ub-east,tunis,ub-east}
late=${LATE:-}
declarations="deploy/batbayar deploy/agency"

# port NUMBER: prints the port that a port of the plain set-up has here.
port() { echo $(($1 + offset)); }

# at NUMBER: prints the address of a port of the plain set-up.
at() { echo "127.0.0.1:$(port "$1")"; }

# start NAME COMMAND...: runs a command in the background, its output in a log.
start() {
  local name=$1
  shift
  "$@" >"$run_dir/$name.log" 2>&1 &
  echo $! >"$run_dir/$name.pid"
  disown # the shell would report a killed process on its own
}

# pid NAME: prints the process id of a started command.
pid() { cat "$run_dir/$1.pid"; }

# report_dead: fails if a started process has ended, and prints its last words.
report_dead() {
  local f name dead=0
  for f in "$run_dir"/*.pid; do
    kill -0 "$(cat "$f")" 2>/dev/null && continue
    name=$(basename "$f" .pid)
    echo "$name has ended: $(tail -n 1 "$run_dir/$name.log")" >&2
    dead=1
  done
  return $dead
}

# warn_ephemeral: warns of ports that outgoing connections may hold.
warn_ephemeral() {
  local first last
  read -r first last </proc/sys/net/ipv4/ip_local_port_range 2>/dev/null || return 0
  if [ "$(port "$highest_port")" -ge "$first" ] && [ "$(port "$lowest_port")" -le "$last" ]; then
    echo "PORT_OFFSET=$offset reaches into ports $first-$last, which outgoing connections use; if a start fails, take at most $((first - highest_port - 1))" >&2
  fi
}

# stop_all: ends every process that this script started, by its id.
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

# ask PORT PATH: prints the status line of an HTTP answer on this machine.
ask() {
  local line
  exec 3<>"/dev/tcp/127.0.0.1/$1" || return 1
  printf 'GET %s HTTP/1.0\r\n\r\n' "$2" >&3
  read -r -t 1 line <&3 || line=""
  exec 3>&-
  printf '%s\n' "$line"
}

# await PORT PATH: waits until an HTTP address on this machine answers with success.
await() {
  local i
  for i in $(seq 1 200); do
    case "$(ask "$1" "$2" 2>/dev/null)" in *" 200 "*) return 0 ;; esac
    sleep 0.05
  done
  echo "no answer from port $1" >&2
  report_dead || true
  return 1
}

# set_up: starts everything and returns once all proxies are ready.
set_up() {
  warn_ephemeral
  "$bin/cranberrystage-standin" layout --out "$run_dir" --port-offset "$offset" --data-centres "$data_centres" $declarations
  local f name n
  start platform "$bin/cranberrystage-standin" serve "$run_dir/platform.jsonc"
  for f in "$run_dir"/server-*.jsonc; do
    name=$(basename "$f" .jsonc)
    start "$name" "$bin/cranberrystage-standin" serve "$f"
  done
  await "$(port 7001)" /vms
  local id
  id=$("$bin/cranberrystage-ctl" --settings "$run_dir/ctl.jsonc" --json plan "$run_dir/declarations" | sed -n 's/.*"id": *"\([0-9a-f]*\)".*/\1/p' | head -n 1)
  "$bin/cranberrystage-ctl" --settings "$run_dir/ctl.jsonc" confirm "$id" >"$run_dir/confirm.log"
  for f in "$run_dir"/proxy-*.jsonc; do
    name=$(basename "$f" .jsonc)
    [ "$name" != "$late" ] || continue
    start "$name" "$bin/cranberrystage-proxy" "$f"
  done
  for n in 6632 6633 6634; do
    await "$(port "$n")" /readyz
  done
  report_dead
}
