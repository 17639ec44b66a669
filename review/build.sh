#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/stand"
go vet ./...
go build -o ../../target/review-stand .
