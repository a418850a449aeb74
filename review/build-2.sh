#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/6/standin
