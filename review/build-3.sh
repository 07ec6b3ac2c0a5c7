#!/usr/bin/env bash
# Builds the stand-ins and cases of the third review. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/harness3 ./review/harness3
