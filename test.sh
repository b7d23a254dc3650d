#!/bin/bash
# Formatting, linter and all tests under the race detector. Needs the Go tool chain, a C compiler and, once, the module
# mirror.
set -eu
cd "$(dirname "$0")"
export GOFLAGS=-buildvcs=false GOTOOLCHAIN=local
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
	printf 'not formatted by gofmt:\n%s\n' "$unformatted"
	exit 1
fi
go mod download
go vet ./...
go tool -modfile=tools/go.mod golangci-lint run --timeout 5m ./...
go test -race -count=1 ./...
