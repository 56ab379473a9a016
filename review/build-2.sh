#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review, with the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o target/standins2 .
