#!/usr/bin/env bash
# Shows the whole path with separate processes on loopback.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/fleet.sh
trap fleet_down EXIT

step() { echo "demo: $*"; }

fleet_up
step "started: platform, 2 engines, 2 plain services, 4 sidecars, 2 routers"
curl -fsS -o /dev/null -X PUT "http://$PLATFORM/v1/kv/goldcrest/config?version=0" -d "{
  \"revision\": 1,
  \"teams\": {\"legacy\": {\"share\": 1, \"tokens\": [\"$(digest legacy-token)\"], \"services\": [\"counsel-llm\", \"ledger-app\"]}},
  \"services\": {\"counsel-llm\": {\"kind\": \"model\"}, \"ledger-app\": {\"kind\": \"plain\", \"non_idempotent\": [\"/pledges\"]}}
}"
fleet_wait
step "configuration revision 1 in force"
sleep 1
answer=$(curl -fsS -N "http://127.0.0.1:$(port 13)/v1/chat/completions" -H 'Authorization: Bearer legacy-token' \
  -d '{"model":"counsel-llm","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"What is a bequest?"}]}')
[ "${answer##*data: }" = "[DONE]" ] || { echo "the stream is not whole" >&2; exit 1; }
step "streamed an enquiry: $(grep -c '^data:' <<<"$answer") events"
curl -fsS -X POST "http://127.0.0.1:$(port 16)/services/ledger-app/pledges" -H 'Authorization: Bearer legacy-token' -d '{"amount":5}'
step "sent a pledge through the other router"
fleet_down
trap - EXIT
step "stopped all"
