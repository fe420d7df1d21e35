#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2/, after the build line of deploy/system.toml.
set -eu
cd "$(dirname "$0")/rig-2"
GOWORK=off GOTOOLCHAIN=local GOPROXY=off go build -o ../../target/review-2/rig .
