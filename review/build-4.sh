#!/bin/sh
# Builds the stand-in of the cases 16 to 19. The programs come from the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-standin4 ./review/16/standin
