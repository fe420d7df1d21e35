# Functions that start and stop a small fleet on loopback. Sourced by demo.sh
# and run.sh. Only the shell starts processes.

# free_base prints the first block of ports whose first one nobody listens on.
free_base() {
  local base
  for base in $(seq 17400 100 19400); do
    (exec 3<>"/dev/tcp/127.0.0.1/$base") 2>/dev/null || { echo "$base"; return 0; }
  done
  echo "no free block of ports" >&2
  return 1
}

BASE_PORT=${BASE_PORT:-$(free_base)}
OUT=${OUT:-out/fleet}
PIDS=()
NAMES=()

port() { echo $((BASE_PORT + $1)); }

PLATFORM=127.0.0.1:$(port 0)

# start NAME COMMAND... runs a process in the background, its log in OUT.
start() {
  local name=$1
  shift
  "$@" >"$OUT/$name.log" 2>&1 &
  PIDS+=("$!")
  NAMES+=("$name")
}

# pid_of NAME prints the process id of a started process. A bare return would
# give the status from before the trap when it is called in one.
pid_of() {
  local i
  for i in "${!NAMES[@]}"; do
    [ "${NAMES[$i]}" = "$1" ] && echo "${PIDS[$i]}" && return 0
  done
}

# wait_for URL waits until the URL answers with success.
wait_for() {
  local i
  for i in $(seq 1 100); do
    curl -fsS -o /dev/null "$1" 2>/dev/null && return 0
    sleep 0.1
  done
  echo "no answer from $1" >&2
  return 1
}

register() {
  curl -fsS -o /dev/null -X PUT "http://$PLATFORM/v1/instances/$1" -d "$2"
}

start_router() {
  local n=$1 base=$((10 + $1 * 3))
  cat >"$OUT/router-$n.json" <<J
{
  "id": "router-$n",
  "data_centre": "hall-pamp",
  "listen": {
    "callers": "127.0.0.1:$(port $base)",
    "operators": "127.0.0.1:$(port $((base + 1)))",
    "peers": "127.0.0.1:$(port $((base + 2)))"
  },
  "platform": {"url": "http://$PLATFORM"},
  "operators": {"bootstrap_digest": "$(digest bootstrap-example-token)"}
}
J
  register "router-$n" "{\"id\":\"router-$n\",\"role\":\"router\",\"address\":\"127.0.0.1:$(port $((base + 2)))\",\"data_centre\":\"hall-pamp\",\"state\":\"live\"}"
  start "router-$n" bin/goldcrestd router --settings "$OUT/router-$n.json"
}

# start_sidecar N SERVICE BACKEND_ADDRESS SLOTS
start_sidecar() {
  local n=$1 service=$2 backend=$3 slots=$4 base=$((40 + $1 * 2))
  cat >"$OUT/sidecar-$n.json" <<J
{
  "id": "sidecar-$n",
  "data_centre": "hall-pamp",
  "service": "$service",
  "listen": {
    "peers": "127.0.0.1:$(port $base)",
    "operators": "127.0.0.1:$(port $((base + 1)))"
  },
  "platform": {"url": "http://$PLATFORM"},
  "backend": {"url": "http://$backend", "slots": $slots}
}
J
  register "sidecar-$n" "{\"id\":\"sidecar-$n\",\"role\":\"sidecar\",\"address\":\"127.0.0.1:$(port $base)\",\"data_centre\":\"hall-pamp\",\"service\":\"$service\",\"state\":\"live\"}"
  start "sidecar-$n" bin/goldcrestd sidecar --settings "$OUT/sidecar-$n.json"
}

# digest TOKEN prints the digest under which a token is configured.
digest() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }

# fleet_up starts the platform, the backend servers, the sidecars and routers.
fleet_up() {
  mkdir -p "$OUT"
  start platform bin/standin platform --listen "$PLATFORM" --list-lag 200ms
  wait_for "http://$PLATFORM/admin/counters"
  start engine-1 bin/standin engine --listen "127.0.0.1:$(port 1)" --slots 4 --step 5ms
  start engine-2 bin/standin engine --listen "127.0.0.1:$(port 2)" --slots 4 --step 5ms
  start ledger-1 bin/standin service --listen "127.0.0.1:$(port 3)"
  start ledger-2 bin/standin service --listen "127.0.0.1:$(port 4)"
  start_sidecar 1 counsel-llm "127.0.0.1:$(port 1)" 4
  start_sidecar 2 counsel-llm "127.0.0.1:$(port 2)" 4
  start_sidecar 3 ledger-app "127.0.0.1:$(port 3)" 4
  start_sidecar 4 ledger-app "127.0.0.1:$(port 4)" 4
  start_router 1
  start_router 2
}

# fleet_wait waits until both routers take work.
fleet_wait() {
  wait_for "http://127.0.0.1:$(port 14)/readyz"
  wait_for "http://127.0.0.1:$(port 17)/readyz"
}

# ctl ARGS... runs goldcrestctl as the example's operator at both routers.
ctl() {
  GOLDCREST_ROUTERS="127.0.0.1:$(port 14),127.0.0.1:$(port 17)" \
    GOLDCREST_TOKEN=${CTL_TOKEN:-operations-example-token} bin/goldcrestctl "$@"
}

# fleet_configure plans and confirms the first configuration.
fleet_configure() {
  wait_for "http://127.0.0.1:$(port 14)/healthz"
  wait_for "http://127.0.0.1:$(port 17)/healthz"
  CTL_TOKEN=bootstrap-example-token ctl plan -f docs/examples/pamplemousses.json --save "$OUT/plan.json" >"$OUT/plan.txt"
  CTL_TOKEN=bootstrap-example-token ctl confirm "$OUT/plan.json"
}

# linked PORT succeeds if the router at the port is linked with all sidecars.
linked() {
  [ "$(ctl --router "127.0.0.1:$1" status -o json | grep -c '"linked": true')" = 4 ]
}

# fleet_linked waits until both routers are linked with all sidecars.
fleet_linked() {
  local i
  for i in $(seq 1 100); do
    linked "$(port 14)" && linked "$(port 17)" && return 0
    sleep 0.1
  done
  echo "the routers are not linked with all sidecars" >&2
  return 1
}

# stop NAME sends SIGTERM and waits until the process has ended.
stop() {
  local pid
  pid=$(pid_of "$1")
  kill -TERM "$pid" 2>/dev/null || true
  wait "$pid" 2>/dev/null || true
}

# fleet_down stops everything that still runs, routers first.
fleet_down() {
  local i
  for ((i = ${#NAMES[@]} - 1; i >= 0; i--)); do
    stop "${NAMES[$i]}"
  done
}
