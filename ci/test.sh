#!/usr/bin/env bash
# The whole test: build, gofmt, vet, go test -race and the module's line limits.
set -euo pipefail
cd "$(dirname "$0")/.."

# The race detector needs a C compiler.
if ! command -v gcc >/dev/null; then
	apt-get update -qq && apt-get install -y -qq gcc libc6-dev
fi

go build ./...
unformatted=$(gofmt -l .)
[ -z "$unformatted" ] || { echo "not gofmt'd: $unformatted"; exit 1; }
go vet ./...
lines=$(grep -cv '^[[:space:]]*$' balance/balance.go)
[ "$lines" -le 900 ] || { echo "balance/balance.go: $lines non-blank lines, 900 at most"; exit 1; }
long=$(expand -t 4 balance/balance.go | awk 'length > 110 { print NR }')
[ -z "$long" ] || { echo "balance/balance.go: lines over 110 characters: $long"; exit 1; }
CGO_ENABLED=1 go test -race -count=1 ./...
