#!/usr/bin/env bash
# Runs a small fleet on loopback until it is interrupted: the stand-ins of the
# platform and of the upstreams, and four daemons in two zones.
set -euo pipefail
cd "$(dirname "$0")/.."
RUN_DIR=${RUN_DIR:-tmp/demo}
. scripts/lib.sh

prepare
KEY=$(new_key)
write_fleet "$KEY"
publish_customer front-desk "$KEY"
publish_zone cz-a false
publish_zone cz-b false
"$BIN/standin" files --file "$RUN_DIR/fleet.json" --folder "$FOLDER"
write_vms vm-a1:cz-a:1:live vm-a2:cz-a:2:live vm-b1:cz-b:3:live vm-b2:cz-b:4:live
start_platform
start_upstreams
start_daemon vm-a1 cz-a 1
start_daemon vm-a2 cz-a 2
start_daemon vm-b1 cz-b 3
start_daemon vm-b2 cz-b 4
for index in 1 2 3 4; do
	wait_daemon "$index"
done

QUERY='{"query": {"text": "crest, thread 40"}, "min_coverage": 1.0, "deadline_ms": 500}'
ROUTE=/v1/services/proof-studio/query

# first_answer tries each daemon in turn, as a load balancer does, until one
# answers: the upstreams and the daemons start cold. ANSWERED is the port offset of
# that daemon.
first_answer() {
	local end=$((SECONDS + 60)) offset
	while ((SECONDS < end)); do
		for offset in 101 102 103 104; do
			ANSWERED=$offset
			if ask "$offset" && [[ $(<"$RUN_DIR/answer") == *'"verdict":"ran","snapshot"'* ]]; then
				return
			fi
		done
		sleep 0.2
	done
	die "no answer within 60 s: $(<"$RUN_DIR/answer"); logs are in $RUN_DIR"
}

# ask OFFSET sends the query to the daemon at a port offset.
ask() {
	curl -sS --max-time 2 -o "$RUN_DIR/answer" "http://$(address "$1")$ROUTE" \
		-H "Authorization: Bearer $KEY" -d "$QUERY"
}

first_answer
cat <<EOT
Four daemons answer callers at $(address 101), $(address 102) (cz-a), $(address 103) and $(address 104) (cz-b).
Configuration folder: $FOLDER    logs: $RUN_DIR    operators' listener of vm-a1: http://$(address 301)/status

Try a query:

  curl -s http://$(address "$ANSWERED")$ROUTE \\
    -H 'Authorization: Bearer $KEY' \\
    -d '$QUERY'

Take zone cz-b out of service:

  echo '{"zones": {"cz-b": {"out": true}}}' > $FOLDER/30-zone-cz-b.json

The first answer:

$(<"$RUN_DIR/answer")

Ctrl-C ends the demo.
EOT
while children_left; do
	sleep 1
done
die "all processes have ended; logs are in $RUN_DIR"
