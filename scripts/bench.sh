#!/usr/bin/env bash
# Measures three daemons in three zones against 10 groups of 3 stand-in
# upstreams, for each seed once with the default policy and once without hedges
# and ramps and with random replicas. Then measures the cost of one daemon itself.
# Prints the tables.
# SEEDS="1 2 3" COST_SEEDS="1 2 3" RATE=300 choose the runs.
set -euo pipefail
cd "$(dirname "$0")/.."
OUT=${OUT:-tmp/bench}
SEEDS=${SEEDS-1 2 3}
COST_SEEDS=${COST_SEEDS-1 2 3}
RATE=${RATE:-300}
BASE_PORT=${BASE_PORT:-7430}
LOG_LEVEL=warn
RUN_DIR=$OUT/run
. scripts/lib.sh
NAIVE='{"hedge": false, "random_replica": true, "ramp": false}'

# write_bench_fleet SEED SHARDS POLICY
write_bench_fleet() {
	cat >"$RUN_DIR/fleet.json" <<-JSON
		{"seed": $1, "groups": [{"service": "proof-studio", "prefix": "ps", "shards": $2,
		  "zones": ["cz-a", "cz-b", "cz-c"], "host": "$HOST", "first_port": $(port 501),
		  "deadline_ms": 500, "idempotent": true, "policy": $3}]}
	JSON
}

# write_bench_config SEED PIDS DAEMONS MIN_COVERAGE
write_bench_config() {
	cat >"$RUN_DIR/bench.json" <<-JSON
		{"daemons": [$3], "controls": ["$(address 11)"], "pids": [$2],
		 "zone": "cz-b", "zone_file": "$FOLDER/30-zone-cz-b.json",
		 "frozen": ["ps-[0369]-a", "ps-[147]-b", "ps-[258]-c"], "seed": $1,
		 "service": {"name": "proof-studio", "shards": 10, "idempotent": true, "deadline_ms": 500,
		   "answer_bytes": 200, "min_coverage": $4, "rate": $RATE},
		 "customer": {"name": "front-desk", "key": "$KEY", "weight": 1}}
	JSON
}

# publish_all writes the configuration files.
publish_all() {
	KEY=$(new_key)
	publish 10-customer-front-desk.json <<-JSON
		{"customers": {"front-desk": {"key_hashes": ["$(key_hash "$KEY")"], "rate": 1000000, "burst": 1000000, "services": []}}}
	JSON
	for zone in cz-a cz-b cz-c; do
		publish_zone "$zone" false
	done
	"$BIN/standin" files --file "$RUN_DIR/fleet.json" --folder "$FOLDER"
}

start_bench_upstreams() {
	start_child leaf "$BIN/standin" leaf --file "$RUN_DIR/fleet.json" --control "$(address 11)"
	wait_http "http://$(address 11)/control/leaves" 5
}

# scenarios SEED VARIANT POLICY
scenarios() {
	prepare
	write_bench_fleet "$1" 10 '{"slots": 3, "queue": 6, "connections": 30, "connect_cost_ms": 6,
	  "service_ms": 4, "jitter_ms": 1, "cold_ms": 3000, "cold_permits": 1, "collapse_factor": 20,
	  "collapse_ms": 500, "hint_lag_ms": 500, "answer_bytes": 200}'
	publish_all
	write_vms vm-a1:cz-a:1:live vm-b1:cz-b:2:live vm-c1:cz-c:3:live
	start_platform
	start_bench_upstreams
	POLICY=$3 start_daemon vm-a1 cz-a 1
	POLICY=$3 start_daemon vm-b1 cz-b 2
	POLICY=$3 start_daemon vm-c1 cz-c 3
	for index in 1 2 3; do
		wait_daemon "$index"
	done
	write_bench_config "$1" "" "\"$(address 101)\", \"$(address 102)\", \"$(address 103)\"" 0.5
	"$BIN/bench" run --file "$RUN_DIR/bench.json" >"$OUT/$2-$1.json"
	stop_children
	PIDS=()
}

# cost SEED
cost() {
	prepare
	write_bench_fleet "$1" 10 '{"slots": 100, "queue": 100, "connections": 110, "answer_bytes": 200}'
	publish_all
	write_vms vm-a1:cz-a:1:live
	start_platform
	start_bench_upstreams
	start_daemon vm-a1 cz-a 1
	local pid=$CHILD
	wait_daemon 1
	write_bench_config "$1" "$pid" "\"$(address 101)\"" 1
	"$BIN/bench" cost --file "$RUN_DIR/bench.json" >"$OUT/cost-$1.json"
	stop_children
	PIDS=()
}

mkdir -p "$OUT"
REPORT=()
for seed in $SEEDS; do
	scenarios "$seed" naive "$NAIVE"
	scenarios "$seed" tier '{}'
	REPORT+=(--tier "$OUT/tier-$seed.json" --naive "$OUT/naive-$seed.json")
done
for seed in $COST_SEEDS; do
	cost "$seed"
	REPORT+=(--cost "$OUT/cost-$seed.json")
done
"$BIN/bench" report "${REPORT[@]}"
