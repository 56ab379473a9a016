#!/bin/bash
# Builds the stand-ins of the scripts into review/bin. They use the standard library only.
set -e
cd "$(dirname "$0")/stand"
GOWORK=off go build -o ../bin/stand .
