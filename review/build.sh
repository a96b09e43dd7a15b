#!/bin/sh
# Builds the stand-ins of all cases. They need nothing but the Go toolchain.
set -e
cd "$(dirname "$0")/standins"
mkdir -p ../../target
GOTOOLCHAIN=local GOFLAGS= GOWORK=off GOPROXY=off CGO_ENABLED=0 go build -o ../../target/review-standins .
