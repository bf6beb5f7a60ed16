#!/usr/bin/env bash
# Builds the stand-ins that the cases start. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
GOTOOLCHAIN=local GOFLAGS=-mod=mod GOWORK=off go build -o bin/standin ./standin
