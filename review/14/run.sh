#!/usr/bin/env bash
# Plays case 14; TROUBLE=0 plays it without the disruption. Exit: 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bramleygap ] && [ -x target/review-standin3 ] || { echo "build the deploy file's line and review/build-3.sh first"; exit 2; }
exec target/review-standin3 added-text review/14/record.txt
