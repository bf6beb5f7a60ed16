#!/usr/bin/env bash
# Builds the stand-ins that the cases start. They are a module of their own and use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/tools"
mkdir -p ../bin
GOTOOLCHAIN=local GOWORK=off CGO_ENABLED=0 go build -o ../bin/standin ./standin
