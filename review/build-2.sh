#!/usr/bin/env bash
# Builds the stand-ins and scripts of the second review at target/review-standin-2.
set -euo pipefail
cd "$(dirname "$0")/standin2"
go build -buildvcs=false -o ../../target/review-standin-2 .
