#!/usr/bin/env bash
# Runs every property test and fuzz target with fresh seeds for about the given
# number of seconds in all. A failing property test prints its seed.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-60}

property=(catalog dissemination quota routing scatter admission)
targets=$(grep -rlE '^func Fuzz[A-Z]' --include='*_test.go' internal | xargs -r grep -hoE '^func Fuzz[A-Za-z]+' -H | sed 's/:func /:/')
share=$((seconds / (${#property[@]} + 1)))
((share > 0)) || share=1

for p in "${property[@]}"; do
	end=$((SECONDS + share))
	while ((SECONDS < end)); do
		seed=$((RANDOM * 32768 + RANDOM + 1))
		echo "fuzz: internal/core/$p seed=$seed"
		go test "./internal/core/$p" -run 'Rapid|Against|Faults|Sums|Property|Oracle|Query' -count=1 -rapid.seed="$seed" ||
			{ echo "fuzz: FAIL internal/core/$p -rapid.seed=$seed"; exit 1; }
	done
done
count=$(wc -w <<<"$targets")
for t in $targets; do
	file=${t%%:*} name=${t##*:}
	echo "fuzz: $name in $(dirname "$file")"
	go test "./$(dirname "$file")" -run '^$' -fuzz "^$name\$" -fuzztime "$((share / (count > 0 ? count : 1) + 1))s"
done
seed=$((RANDOM * 32768 + RANDOM + 1))
echo "fuzz: soak seed=$seed"
go run -tags invariants ./cmd/soak -seed "$seed" -steps 10000
