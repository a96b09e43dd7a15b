#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review's cases start. Run after the build of the deploy file. They need nothing but the Go toolchain.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
mkdir -p ../../target
GOTOOLCHAIN=local GOFLAGS= GOWORK=off GOPROXY=off CGO_ENABLED=0 go build -buildvcs=false -o ../../target/standins2 .
