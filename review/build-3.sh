#!/bin/sh
# Builds the stand-ins that the scripts of the cases from 11 on start. Run it after the build
# of deploy/system.toml, from any folder.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-standin4 ./review/11/standin
go build -o target/review-standin3 ./review/12/standin
