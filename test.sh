#!/usr/bin/env bash
# Format, vet, tests, the decision module's limits, and the deploy build.
set -euo pipefail
cd "$(dirname "$0")"

unformatted=$(gofmt -l balance cmd internal)
if [ -n "$unformatted" ]; then
	echo "not gofmt'd: $unformatted" >&2
	exit 1
fi
go vet ./...
bash .ci/known-red-check.sh
bash .ci/known-red.sh -race -count=1 # go test ./..., less what KNOWN-RED.txt names

lines=$(cat balance/balance.go balance/peers.go | grep -c '[^[:space:]]')
if [ "$lines" -gt 1000 ]; then
	echo "balance/balance.go and peers.go: $lines lines that are not blank, 1000 at most" >&2
	exit 1
fi
if cat balance/balance.go balance/peers.go | expand -t4 | grep -nE '^.{111,}'; then
	echo "balance: lines over 110 columns" >&2
	exit 1
fi
build=$(sed -n 's/^build = "\(.*\)".*/\1/p' deploy/balancer.toml)
[ -n "$build" ]
sh -c "$build"
test -x bin/simadapter
test -x bin/rooktrestle
if ! readelf -l bin/rooktrestle | grep -q 'Requesting program interpreter'; then
	echo "bin/rooktrestle: not linked dynamically against the C library" >&2
	exit 1
fi
echo "balance/balance.go and peers.go: $lines lines; deploy build done"
