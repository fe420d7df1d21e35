#!/usr/bin/env bash
# Shows routers that call backend servers themselves, with the stand-ins of the
# users' platform, as separate processes on loopback.
set -euo pipefail
cd "$(dirname "$0")/.."
OUT=${OUT:-out/direct}
source scripts/fleet.sh
trap fleet_down EXIT

STORE=127.0.0.1:$(port 0)

step() { echo "demo-direct: $*"; }
fail() {
  echo "demo-direct: $*" >&2
  exit 1
}

# start_direct N ID starts a router.
start_direct() {
  local base=$((10 + $1 * 4))
  cat >"$OUT/$2.json" <<J
{
  "id": "$2",
  "data_centre": "hall-pamp",
  "listen": {
    "callers": "127.0.0.1:$(port $base)",
    "health": "127.0.0.1:$(port $((base + 1)))",
    "metrics": "127.0.0.1:$(port $((base + 2)))",
    "peers": "127.0.0.1:$(port $((base + 3)))"
  },
  "platform": {"url": "http://$STORE"}
}
J
  start "$2" bin/goldcrestd direct --settings "$OUT/$2.json"
}

# start_backend N ID SERVICE FLAGS... starts a backend server.
start_backend() {
  local n=$1 id=$2 service=$3
  shift 3
  start "$id" bin/standin backend --listen "127.0.0.1:$(port "$n")" --store "$STORE" --id "$id" --service "$service" "$@"
}

# call ROUTER_PORT PATH ID KEY TOKENS prints the answer and, last, its status.
call() {
  curl -sS -N -X POST "http://127.0.0.1:$(port "$1")$2" -w '%{http_code}\n' -d '{}' -H 'Host: demo.example' \
    -H "Attempt-Id: $3" -H "Credential: $4" -H 'Deadline-Ms: 15000' -H "Token-Count: 100,$5" -H 'Prompt-Prefix: aa:80,bb:20'
}

# runs_of ID prints how many runs began at the backend server.
runs_of() { { grep -c '"Server"' "$OUT/$1.log" || true; }; }

mkdir -p "$OUT"
start store bin/standin kvstore --listen "$STORE"
wait_for "http://$STORE/api/kv-range?pathPrefix="
curl -fsS -o /dev/null -X PUT "http://$STORE/admin/items/op/config" --data-binary @docs/examples/direct-config.json
start_backend 1 engine-1 counsel-llm --engine
start_backend 2 engine-2 counsel-llm --engine
start_backend 3 ledger-1 ledger-app
start_direct 1 router-1
start_direct 2 router-2
wait_for "http://127.0.0.1:$(port 15)/readyz"
wait_for "http://127.0.0.1:$(port 19)/readyz"
step "started: the store, 2 engines, a plain service, 2 routers, both ready"
answer=$(call 14 /enquiries/x demo-1 helpline-example-key 40)
[ "$(tail -n 1 <<<"$answer")" = 200 ] || fail "the enquiry was not answered: $answer"
[ "$(grep -c '^data:' <<<"$answer")" = 8 ] || fail "the stream is not whole"
step "streamed an enquiry through router-1: 8 events"
[ "$(call 18 /pledges/x demo-2 pledge-desk-example-key 0 | tail -n 1)" = 200 ] || fail "the pledge was not answered"
[ "$(runs_of ledger-1)" = 1 ] || fail "the pledge did not run once"
step "sent a pledge through router-2: it ran once"
[ "$(call 18 /pledges/x demo-3 unknown-key 0 | tail -n 1)" = 401 ] || fail "an unknown key was taken"
step "an unknown key was refused"
sed 's/"version": 1/"version": 2/; s/pledge-desk-example-key/another-example-key/' docs/examples/direct-config.json >"$OUT/config-2.json"
curl -fsS -o /dev/null -X PUT "http://$STORE/admin/items/op/config" --data-binary @"$OUT/config-2.json"
sleep 1
[ "$(call 14 /pledges/x demo-4 pledge-desk-example-key 0 | tail -n 1)" = 401 ] || fail "a key that was taken away works"
[ "$(call 18 /pledges/x demo-5 another-example-key 0 | tail -n 1)" = 200 ] || fail "the new key does not work"
step "a new configuration took that key away: it is refused, the new one works"
kill -TERM "$(pid_of engine-1)"
sleep 0.5
before=$(runs_of engine-1)
for n in 1 2 3 4; do call 14 /enquiries/x "demo-drain-$n" helpline-example-key 10 >/dev/null; done
[ "$(runs_of engine-1)" = "$before" ] || fail "a leaving backend server got new work"
step "a backend server leaves: 4 more enquiries, none went there"
bin/goldcrestctl explain demo-1 "$OUT/router-1.log" >"$OUT/explained.txt" || fail "the request cannot be explained"
step "explained: $(head -n 1 "$OUT/explained.txt")"
fleet_down
trap - EXIT
step "stopped all"
