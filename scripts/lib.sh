# Functions for demo.sh, smoke.sh and bench.sh: a small fleet of processes on
# loopback. All ports are offsets from BASE_PORT. A script ends only the processes
# that it started.

BASE_PORT=${BASE_PORT:-7000}
HOST=127.0.0.1
PIDS=()

die() {
	echo "$*" >&2
	exit 1
}

port() { echo $((BASE_PORT + $1)); }
address() { echo "$HOST:$(port "$1")"; }
now_ms() { date +%s%3N; }

# start_child LOG COMMAND... runs a process in the background; CHILD is its pid.
start_child() {
	local log=$1
	shift
	"$@" >"$RUN_DIR/$log.out" 2>"$RUN_DIR/$log.err" &
	CHILD=$!
	PIDS+=("$CHILD")
}

# stop_children sends SIGTERM to all children, and SIGKILL to those that are still
# running after 3 s.
stop_children() {
	local pid
	for pid in "${PIDS[@]}"; do
		kill -TERM "$pid" 2>/dev/null || true
	done
	local left=30
	while ((left-- > 0)) && children_left; do
		sleep 0.1
	done
	for pid in "${PIDS[@]}"; do
		kill -KILL "$pid" 2>/dev/null || true
	done
	wait 2>/dev/null || true
}

children_left() {
	local pid
	for pid in "${PIDS[@]}"; do
		kill -0 "$pid" 2>/dev/null && return 0
	done
	return 1
}

# wait_http URL SECONDS waits for status 200. All children must be running at that
# time; otherwise the response may come from a process of another run.
wait_http() {
	local end=$((SECONDS + $2)) pid
	until curl -fsS --max-time 1 -o /dev/null "$1" 2>/dev/null; do
		((SECONDS < end)) || die "no 200 from $1 after $2 s; logs are in $RUN_DIR"
		sleep 0.1
	done
	for pid in "${PIDS[@]}"; do
		kill -0 "$pid" 2>/dev/null || die "process $pid ended at the start; logs are in $RUN_DIR"
	done
}

# check_ports fails if a port is in use, for example by another run.
check_ports() {
	local offset
	for offset in 1 11 12 101 102 103 104 105 201 301 501; do
		if (exec 3<>"/dev/tcp/$HOST/$(port "$offset")") 2>/dev/null; then
			die "port $(port "$offset") is in use, perhaps by another demo, smoke or bench run; set BASE_PORT to use other ports"
		fi
	done
}

# publish NAME writes standard input to a configuration file, atomically.
publish() {
	cat >"$RUN_DIR/publish.part"
	mv "$RUN_DIR/publish.part" "$FOLDER/$1"
}

new_key() { echo "rk_$(od -An -N16 -tx1 /dev/urandom | tr -d ' \n')"; }
key_hash() { printf %s "$1" | sha256sum | cut -d' ' -f1; }

# publish_customer NAME KEY
publish_customer() {
	publish "10-customer-$1.json" <<-JSON
		{"customers": {"$1": {"key_hashes": ["$(key_hash "$2")"], "rate": 1000, "burst": 1000, "services": []}}}
	JSON
}

# publish_zone NAME OUT
publish_zone() {
	publish "30-zone-$1.json" <<-JSON
		{"zones": {"$1": {"out": $2}}}
	JSON
}

# write_fleet SECRET... writes the description of the stand-in upstreams.
write_fleet() {
	local secrets
	secrets=$(printf '"%s",' "$@")
	cat >"$RUN_DIR/fleet.json" <<-JSON
		{
		  "seed": 1, "truth_limit": 200000, "secrets": [${secrets%,}],
		  "groups": [
		    {"service": "proof-studio", "prefix": "ps", "shards": 4, "zones": ["cz-a", "cz-a", "cz-b"],
		     "host": "$HOST", "first_port": $(port 501), "snapshot": "s1", "deadline_ms": 500, "idempotent": true,
		     "policy": {"slots": 3, "queue": 6, "connections": 30, "connect_cost_ms": 6,
		       "service_ms": 3, "jitter_ms": 1, "straggler_fraction": 0.01, "straggler_factor": 20,
		       "start_cold": true, "cold_ms": 1500, "cold_permits": 1, "collapse_factor": 20, "collapse_ms": 500,
		       "hint_lag_ms": 500, "hold": 2, "answer_bytes": 200}},
		    {"service": "order-desk", "prefix": "od", "shards": 2, "zones": ["cz-a", "cz-a", "cz-b"],
		     "host": "$HOST", "first_port": $(port 541), "deadline_ms": 500, "single_shard": true,
		     "policy": {"slots": 2, "queue": 4, "connections": 110, "connect_cost_ms": 1,
		       "service_ms": 3, "jitter_ms": 1,
		       "start_cold": true, "cold_ms": 1000, "cold_permits": 1, "collapse_factor": 20, "collapse_ms": 500,
		       "hold": 1, "answer_bytes": 100}}
		  ]
		}
	JSON
}

# write_vms ID:ZONE:INDEX:STATE... writes the VM list.
write_vms() {
	local vm id zone index state list=""
	for vm in "$@"; do
		IFS=: read -r id zone index state <<<"$vm"
		list+="{\"id\":\"$id\",\"zone\":\"$zone\",\"peer_address\":\"$(address $((200 + index)))\",\"state\":\"$state\"},"
	done
	echo "{\"vms\":[${list%,}]}" >"$RUN_DIR/vms.part"
	mv "$RUN_DIR/vms.part" "$RUN_DIR/vms.json"
}

PLATFORM_A=$(address 1)
PLATFORM_B=$(address 2)
LEAF_CONTROLS=("$(address 11)" "$(address 12)")

start_platform() {
	start_child platform "$BIN/standin" platform --listen "$PLATFORM_A" --listen "$PLATFORM_B" \
		--folder "$FOLDER" --vms "$RUN_DIR/vms.json"
	wait_http "http://$PLATFORM_A/control" 5
}

# start_upstreams runs one process for each zone: replicas a and b are in cz-a,
# c in cz-b.
start_upstreams() {
	start_child leaf-cz-a "$BIN/standin" leaf --file "$RUN_DIR/fleet.json" --only '*-[ab]' \
		--control "${LEAF_CONTROLS[0]}" "$@"
	start_child leaf-cz-b "$BIN/standin" leaf --file "$RUN_DIR/fleet.json" --only '*-c' \
		--control "${LEAF_CONTROLS[1]}" "$@"
	wait_http "http://${LEAF_CONTROLS[0]}/control/leaves" 5
	wait_http "http://${LEAF_CONTROLS[1]}/control/leaves" 5
}

# control_leaf CONTROL JSON sends a command to a process of stand-in upstreams.
control_leaf() {
	curl -fsS --max-time 2 -o /dev/null -d "$2" "http://$1/control"
}

# start_daemon ID ZONE INDEX starts a daemon. POLICY is its policy setting as JSON.
start_daemon() {
	cat >"$RUN_DIR/$1.json" <<-JSON
		{"fleet": "demo", "vm": "$1", "zone": "$2", "caller_listen": "$(address $((100 + $3)))",
		 "peer_listen": "$(address $((200 + $3)))", "operator_listen": "$(address $((300 + $3)))",
		 "platform": ["http://$PLATFORM_A", "http://$PLATFORM_B"], "log_level": "${LOG_LEVEL:-info}", "policy": ${POLICY:-{\}}}
	JSON
	start_child "$1" "$BIN/ryecourse" serve --settings "$RUN_DIR/$1.json"
}

wait_daemon() { wait_http "http://$(address $((300 + $1)))/readyz" 30; }

# prepare creates an empty directory for the run and checks that the programs exist.
prepare() {
	command -v curl >/dev/null || die "curl is needed"
	BIN=${BIN:-bin}
	[[ -x $BIN/ryecourse && -x $BIN/standin ]] || die "$BIN/ryecourse or $BIN/standin is missing: run make build"
	check_ports
	rm -rf "$RUN_DIR"
	FOLDER=$RUN_DIR/folder
	mkdir -p "$FOLDER"
	trap stop_children EXIT
	trap 'exit 130' INT TERM
}
