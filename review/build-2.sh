#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into bin/review-2. They use the standard library only.
set -eu
cd "$(dirname "$0")/standin-2"
export GOFLAGS=-buildvcs=false GOTOOLCHAIN=local
mkdir -p ../../bin/review-2
go build -o ../../bin/review-2/ ./cmd/...
