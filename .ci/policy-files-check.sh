#!/usr/bin/env bash
# Tries policy-files.sh on a small tree: what it has to pass, and each fault that it has to find.
set -euo pipefail
script=$(cd "$(dirname "$0")" && pwd)/policy-files.sh
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
cd "$dir"
mkdir deploy balance
tried=0
begin() {
	rm -f balance/*
	echo 'policy = ["balance/a.go", "balance/b.go"]   # the files' >deploy/balancer.toml
	printf 'package balance\n' | tee balance/a.go >balance/b.go
	printf 'package balance\n\n// This file decides nothing: it holds types only, no choice.\n' >balance/types.go
	printf 'package balance\n' >balance/a_test.go
}
try() { # verdict, what it says
	local got=pass out
	out=$(bash "$script" 2>&1) || got=fail
	if [ "$got" != "$1" ] || ! grep -qF -- "$2" <<<"$out"; then
		echo "policy-files.sh: $got, want $1 with '$2': $out" >&2
		exit 1
	fi
	tried=$((tried + 1))
}
begin
try pass 'policy: 2 lines in 2 files'
printf 'package balance\n\nvar x int\n' >balance/c.go
try fail 'balance/c.go is not listed'
printf 'package balance\n\n// This file decides nothing: short\n\nvar x int\n' >balance/c.go
try fail 'balance/c.go is not listed'
printf '// Package balance decides.\npackage balance\n' >balance/c.go
try pass 'policy: 2 lines in 2 files' # a package comment alone
begin
rm balance/b.go
try fail 'balance/b.go is listed and does not exist'
begin
printf 'package balance\n\n// This file decides nothing: it holds types only, no choice.\n' >balance/b.go
try fail 'says that it decides nothing'
begin
seq -f '// line %g' 999 >>balance/a.go
try fail '1001 lines that are not blank'
begin
printf '\t// %0104d\n' 0 >>balance/a.go
try fail 'lines over 110 columns'
begin
echo 'policy = []' >deploy/balancer.toml
try fail 'lists no files'
echo "policy-files.sh: $tried trees tried"
