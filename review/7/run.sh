#!/usr/bin/env bash
# Plays the case with the project's gateways and stand-ins on loopback. TROUBLE=0 leaves the disruption out.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/bramleygap ] && [ -x target/review-standin-2 ] || { echo "build the project and run review/build-2.sh first"; exit 2; }
exec target/review-standin-2 ended-early --record "$folder/record.txt"
