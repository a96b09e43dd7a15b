#!/usr/bin/env bash
# The whole test: build, dynamic linking, linters (ci/lint.sh), go test -race (KNOWN-RED.txt apart), and short scenarios on sockets.
set -euo pipefail
cd "$(dirname "$0")/.."

# The programs are linked by the C compiler's linker, against the C library, and the race detector needs it too.
if ! command -v gcc >/dev/null; then
	apt-get update -qq && apt-get install -y -qq gcc libc6-dev
fi

# Programs that tests build, too, must not depend on who owns the clone.
GOFLAGS="$(go env GOFLAGS) -buildvcs=false"
export GOFLAGS

# As deploy/balancer.toml has it: the platform's large fleet wants the sidecar to be dynamically linked.
mkdir -p bin && CGO_ENABLED=1 go build -buildvcs=false -ldflags=-linkmode=external -o bin/ ./cmd/...
sections=$(readelf -S -W bin/pinelb)
grep -q ' \.dynamic ' <<<"$sections" || { echo "bin/pinelb: no dynamic section"; exit 1; }
ci/lint.sh
ci/known-red.sh

# Each scenario has to keep every rule and its expectations. A machine too busy to play one on time (status 3)
# says nothing about the sidecars, and so does not fail the test.
out=$(mktemp -d) && trap 'rm -rf "$out"' EXIT
for s in ci/scenarios/*.toml; do
	status=0
	bin/pinelb-testlab run "$s" --out "$out" >"$out/summary" 2>&1 || status=$?
	case $status in
	0) echo "ok  	scenario $s" ;;
	3) echo "void	scenario $s: the machine was too busy" ;;
	*) cat "$out/summary"; echo "FAIL	scenario $s: status $status"; exit 1 ;;
	esac
done
