#!/usr/bin/env bash
# The linters: gofmt, go vet, staticcheck, errcheck, revive and deadcode, over the packages that are named, or all of them.
# They are pinned in a module of their own (ci/lint/go.mod), so that the product's dependencies don't grow. An exception
# stands where it is needed, with its reason: //lint:ignore CHECK reason, or //revive:disable-next-line:RULE reason.
set -euo pipefail
cd "$(dirname "$0")/.."
packages=("${@:-./...}")
tool() { go tool -modfile=ci/lint/go.mod "$@"; }

unformatted=$(gofmt -l .)
[ -z "$unformatted" ] || { echo "not gofmt'd: $unformatted"; exit 1; }
status=0
go vet "${packages[@]}" || status=1
tool staticcheck "${packages[@]}" || status=1
tool errcheck -exclude ci/lint/errcheck.txt "${packages[@]}" || status=1
tool revive -config ci/lint/revive.toml "${packages[@]}" || status=1
if [ $# -eq 0 ]; then # what only some packages call can't be told from a few of them
	unreachable=$(tool deadcode -test ./...)
	[ -z "$unreachable" ] || { echo "$unreachable"; status=1; }
fi
exit $status
