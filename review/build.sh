#!/bin/sh
# Builds the stand-ins and drivers of the cases into review/bin. They use the standard library only.
set -eu
cd "$(dirname "$0")/harness"
mkdir -p ../bin
GOTOOLCHAIN=local GOFLAGS=-buildvcs=false GOWORK=off GOPROXY=off go build -o ../bin/ ./...
