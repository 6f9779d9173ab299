#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/. The build of the deploy file comes before it.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target/review-2
export GOFLAGS=-buildvcs=false GOWORK=off GOPROXY=off
go vet .
go test -c -o ../../target/review-2/standin2 .
