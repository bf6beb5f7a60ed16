#!/usr/bin/env bash
# Checks the files that hold the decisions: each Go file of balance/ is listed under `policy` in deploy/balancer.toml, but
# for tests, the package comment and those that say `// This file decides nothing: REASON` (types, settings, state without
# a choice); those listed have 1,000 lines together that are not blank, of 110 columns with tabs of four.
set -euo pipefail
fail() {
	echo "policy: $*" >&2
	exit 1
}

mapfile -t listed < <(sed -n 's/^policy = \[\(.*\)\].*/\1/p' deploy/balancer.toml | grep -o '"[^"]*"' | tr -d '"')
[ "${#listed[@]}" -gt 0 ] || fail "deploy/balancer.toml lists no files"
for file in "${listed[@]}"; do
	[ -f "$file" ] || fail "$file is listed and does not exist"
	! grep -q '^// This file decides nothing' "$file" || fail "$file is listed and says that it decides nothing"
done
for file in balance/*.go; do
	case $file in *_test.go) continue ;; esac
	printf '%s\n' "${listed[@]}" | grep -qxF "$file" || grep -qE '^// This file decides nothing: .{20}' "$file" ||
		! grep -qvE '^(//.*|package .*|[[:space:]]*)$' "$file" || # a package comment alone
		fail "$file is not listed in deploy/balancer.toml and does not say why (// This file decides nothing: REASON)"
done

lines=$(cat "${listed[@]}" | grep -c '[^[:space:]]')
[ "$lines" -le 1000 ] || fail "$lines lines that are not blank, 1000 at most"
for file in "${listed[@]}"; do
	! expand -t4 "$file" | grep -nE '^.{111,}' || fail "$file: lines over 110 columns"
done
echo "policy: $lines lines in ${#listed[@]} files"
