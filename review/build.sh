#!/usr/bin/env bash
# Builds the stand-ins and scripts of the review at target/review-standin.
set -euo pipefail
cd "$(dirname "$0")/standin"
go build -buildvcs=false -o ../../target/review-standin .
