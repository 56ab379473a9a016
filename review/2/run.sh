#!/bin/bash
# Plays case 2 with the entries that the deploy file builds. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
test -x ../../target/ferrysite && test -x ../bin/stand || { echo "build the deploy file and review/build.sh first"; exit 2; }
exec ../bin/stand -case roll -program ../../target/ferrysite -record record.txt
