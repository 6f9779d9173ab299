#!/usr/bin/env bash
# Builds the stand-ins and the cases that run.sh of the case folders starts. It needs no module but the standard library.
set -euo pipefail
cd "$(dirname "$0")/standin"
export GOFLAGS="-buildvcs=false" GOWORK=off GOPROXY=off
go vet .
go test -c -o ../bin/cases .
