#!/usr/bin/env bash
# Leaves a small fleet up until interrupted and prints how to call it.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/fleet.sh
trap fleet_down EXIT
trap 'exit 0' INT TERM

fleet_up
curl -fsS -o /dev/null -X PUT "http://$PLATFORM/v1/kv/goldcrest/config?version=0" -d "{
  \"revision\": 1,
  \"teams\": {\"legacy\": {\"share\": 1, \"tokens\": [\"$(digest legacy-token)\"], \"services\": [\"counsel-llm\", \"ledger-app\"]}},
  \"services\": {\"counsel-llm\": {\"kind\": \"model\"}, \"ledger-app\": {\"kind\": \"plain\", \"non_idempotent\": [\"/pledges\"]}}
}"
fleet_wait
cat <<T
The fleet is up. Try:
  curl -N http://127.0.0.1:$(port 13)/v1/chat/completions -H 'Authorization: Bearer legacy-token' \\
    -d '{"model":"counsel-llm","stream":true,"messages":[{"role":"user","content":"hello"}]}'
  curl -X POST http://127.0.0.1:$(port 16)/services/ledger-app/pledges -H 'Authorization: Bearer legacy-token' -d '{}'
  curl http://127.0.0.1:$(port 14)/debug/vars
Stop it with Ctrl-C.
T
wait
