#!/usr/bin/env bash
# Builds the stand-ins of the second review: bin/review-2. They use the standard library only, so no network is needed.
set -euo pipefail
cd "$(dirname "$0")/second/tools"
mkdir -p ../../../bin
go build -o ../../../bin/review-2 .
