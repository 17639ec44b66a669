#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 and up start. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
go vet ./review/_stand2
go build -o target/review-stand-2 ./review/_stand2
