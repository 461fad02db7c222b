#!/usr/bin/env bash
# Warms up a small fleet for 8 s, then sends it queries for 24 s. Meanwhile a
# daemon is killed and replaced, one is stopped gracefully, an upstream is killed
# and started again, and a zone is taken out of service and a key revoked while
# another daemon is paused. Checks every answer against the upstreams' attempt logs.
# The last line is the summary; the exit code is 1 if any fault was found.
set -euo pipefail
cd "$(dirname "$0")/.."
RUN_DIR=${RUN_DIR:-tmp/smoke}
SEED=${SEED:-1}
. scripts/lib.sh

event() { echo "$(now_ms) $*" >>"$RUN_DIR/events"; }

# at SECONDS waits until SECONDS after the start of the queries.
at() {
	local left=$((BEGAN + $1 * 1000 - $(now_ms)))
	if ((left > 0)); then
		sleep "$((left / 1000)).$(printf %03d $((left % 1000)))"
	fi
}

prepare
FRONT_KEY=$(new_key)
BUYER_KEY=$(new_key)
SEASONAL_KEY=$(new_key)
INTRUDER_KEY=$(new_key)
write_fleet "$FRONT_KEY" "$BUYER_KEY" "$SEASONAL_KEY" "$INTRUDER_KEY"
publish_customer front-desk "$FRONT_KEY"
publish_customer buyers "$BUYER_KEY"
publish_customer seasonal "$SEASONAL_KEY"
publish_zone cz-a false
publish_zone cz-b false
"$BIN/standin" files --file "$RUN_DIR/fleet.json" --folder "$FOLDER"
write_vms vm-a1:cz-a:1:live vm-a2:cz-a:2:live vm-b1:cz-b:3:live vm-b2:cz-b:4:live
cat >"$RUN_DIR/check.json" <<JSON
{
  "daemons": ["$(address 101)", "$(address 102)", "$(address 103)", "$(address 104)", "$(address 105)"],
  "controls": ["${LEAF_CONTROLS[0]}", "${LEAF_CONTROLS[1]}"],
  "events": "$RUN_DIR/events", "seed": $SEED, "grace_ms": 3000, "min_answered": 0.95,
  "services": [
    {"name": "proof-studio", "shards": 4, "idempotent": true, "deadline_ms": 500, "answer_bytes": 200, "rate": 100},
    {"name": "order-desk", "shards": 2, "single_shard": true, "deadline_ms": 500, "answer_bytes": 100, "rate": 50}
  ],
  "customers": [
    {"name": "front-desk", "key": "$FRONT_KEY", "weight": 5},
    {"name": "buyers", "key": "$BUYER_KEY", "weight": 3},
    {"name": "seasonal", "key": "$SEASONAL_KEY", "weight": 2},
    {"name": "intruder", "key": "$INTRUDER_KEY", "weight": 1, "unknown": true}
  ]
}
JSON
start_platform
start_upstreams --switch-every 6s
start_daemon vm-a1 cz-a 1
VM_A1=$CHILD
start_daemon vm-a2 cz-a 2
start_daemon vm-b1 cz-b 3
VM_B1=$CHILD
start_daemon vm-b2 cz-b 4
VM_B2=$CHILD
for index in 1 2 3 4; do
	wait_daemon "$index"
done

# The upstreams and the daemons start cold. Refusals are not faults during this
# warm-up; everything else is.
RESULT=0
"$BIN/standin" check --file "$RUN_DIR/check.json" --for 3s --name warm-up --timeline --min-answered 0 || RESULT=1

BEGAN=$(now_ms)
"$BIN/standin" check --file "$RUN_DIR/check.json" --for 24s --name smoke --timeline >"$RUN_DIR/check.out" 2>&1 &
CHECK=$!
PIDS+=("$CHECK")

at 2
event kill "$(address 101)"
kill -KILL "$VM_A1"
wait "$VM_A1" 2>/dev/null || true

at 4
write_vms vm-a2:cz-a:2:live vm-b1:cz-b:3:live vm-b2:cz-b:4:live vm-a3:cz-a:5:live
start_daemon vm-a3 cz-a 5

at 6
write_vms vm-a2:cz-a:2:live vm-b1:cz-b:3:leaving vm-b2:cz-b:4:live vm-a3:cz-a:5:live
event stop "$(address 103)"
kill -TERM "$VM_B1"
GRACEFUL=0
wait "$VM_B1" || GRACEFUL=$?

at 9
event crash ps-0-a
control_leaf "${LEAF_CONTROLS[0]}" '{"leaf": "ps-0-a", "action": "crash"}'

# vm-b2 is paused across two changes, and resumes after they are active.
at 10
event pause "$(address 104)"
kill -STOP "$VM_B2"

at 11
event zone-out cz-b
publish_zone cz-b true
event withdraw seasonal
publish_customer seasonal "$(new_key)"

at 13
event start ps-0-a
control_leaf "${LEAF_CONTROLS[0]}" '{"leaf": "ps-0-a", "action": "start"}'

at 15
kill -CONT "$VM_B2"
event resume "$(address 104)"

at 20
event zone-in cz-b
publish_zone cz-b false

wait "$CHECK" || RESULT=1
if ((GRACEFUL != 0)); then
	echo "graceful stop: exit code $GRACEFUL"
	RESULT=1
fi
cat "$RUN_DIR/check.out"
exit "$RESULT"
