#!/bin/bash
# Formatting, linter and all tests under the race detector. Needs the Go tool chain, a C compiler and, once, the module
# mirror. The tests that KNOWN-RED.txt lists ("- TEST PACKAGE") are run apart: their results are printed and do not count.
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
known_red=$(sed -n 's/^- \(Test[A-Za-z0-9_]*\) \([^ ]*\)$/\1 \2/p' KNOWN-RED.txt 2>/dev/null || true)
while read -r name package; do
	[ -n "$name" ] || continue
	echo "known red: $name in $package"
	go test -race -count=1 -run "^$name\$" "$package" || echo "known red: $name failed, which does not count"
done <<<"$known_red"
known_red=$(cut -d ' ' -f 1 <<<"$known_red" | paste -sd '|' -)
go test -race -count=1 ${known_red:+-skip "^($known_red)\$"} ./...
