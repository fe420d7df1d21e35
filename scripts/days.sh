#!/usr/bin/env bash
# Plays every day of deploy/days (the pairs hold every kind of trouble
# twice, once beside an outage of the store), on the site files with the users' bench.
# BENCH is the bench's program, the arguments are site files.
set -euo pipefail
cd "$(dirname "$0")/.."
: "${BENCH:?set BENCH to the program of the users bench}"
status=0
for site in "$@"; do
  for day in deploy/days/*.toml; do
    report=$("$BENCH" run "$site" "$day" --jobs 4 --why "${WHY:-days of our own}" 2>&1 || true)
    line=$(grep -E -A1 '^day ' <<<"$report" | tail -n 1 || true)
    echo "$(basename "$site" .toml) $(basename "$day" .toml): ${line:-not played: $(tail -n 1 <<<"$report")}"
    grep -E '^(rules broken|short of the gate)' <<<"$report" && status=1
    grep -E ' ended by itself' <<<"$report" && status=1
  done
done
exit $status
