#!/usr/bin/env bash
# Format, vet, linter, tests, the decision files' limits, and the deploy build.
set -euo pipefail
cd "$(dirname "$0")"

unformatted=$(gofmt -l balance cmd internal)
if [ -n "$unformatted" ]; then
	echo "not gofmt'd: $unformatted" >&2
	exit 1
fi
go vet ./...
linter=$(cd tools && go tool -n golangci-lint) # built at the version pinned in tools/go.mod
"$linter" run ./...
bash .ci/known-red-check.sh
bash .ci/known-red.sh -race -count=1 # go test ./..., less what KNOWN-RED.txt names
bash .ci/policy-files-check.sh
bash .ci/policy-files.sh

build=$(sed -n 's/^build = "\(.*\)".*/\1/p' deploy/balancer.toml)
[ -n "$build" ]
sh -c "$build"
test -x bin/simadapter
test -x bin/rooktrestle
if ! readelf -l bin/rooktrestle | grep -q 'Requesting program interpreter'; then
	echo "bin/rooktrestle: not linked dynamically against the C library" >&2
	exit 1
fi
echo "deploy build done"
