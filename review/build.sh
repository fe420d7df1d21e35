#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. It needs Go only, no network.
set -euo pipefail
cd "$(dirname "$0")/rig"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../bin/reviewrig .
