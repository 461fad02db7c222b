#!/usr/bin/env bash
# Runs all tests. Tests that a command in KNOWN-RED.txt names with -run run first
# and on their own; their failures are printed and don't fail the run. The crowds run
# last, with nothing beside them, as they measure the memory of processes.
set -euo pipefail
cd "$(dirname "$0")/.."
go=${GO:-go}
known=$(sed '/^#/d' KNOWN-RED.txt | cut -d'|' -f2 | { grep -oE -- '-(test\.)?run [A-Za-z0-9_]+' || true; } | awk '{print $2}' | sort -u | paste -sd'|' -)
skip=()
if [ -n "$known" ]; then
	mapfile -t packages < <(git grep -lE "^func ($known)\(" -- '*_test.go' | xargs -r -n1 dirname | sort -u | sed 's#^#./#')
	for p in "${packages[@]}"; do
		"$go" test -count=1 -timeout 30m -run "^($known)\$" "$p" || echo "known failure, passed over: $known in $p"
	done
	skip=(-skip "^($known)\$")
fi
mapfile -t others < <("$go" list ./... | grep -v '/platform/crowds$')
"$go" test "${skip[@]}" "${others[@]}"
"$go" test -timeout 30m "${skip[@]}" ./platform/crowds
