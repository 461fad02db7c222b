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
URL=http://$(address 101)/v1/services/proof-studio/query

# first_answer tries for a while: the upstreams start cold.
first_answer() {
	local end=$((SECONDS + 15))
	until curl -fsS --max-time 2 "$URL" -H "Authorization: Bearer $KEY" -d "$QUERY" 2>"$RUN_DIR/curl.err"; do
		((SECONDS < end)) || die "no answer: $(cat "$RUN_DIR/curl.err"); logs are in $RUN_DIR"
		sleep 0.5
	done
}

ANSWER=$(first_answer)
cat <<EOT
Four daemons answer callers at $(address 101), $(address 102) (cz-a), $(address 103) and $(address 104) (cz-b).
Operators' files: $FOLDER    logs: $RUN_DIR    operators' listener of vm-a1: http://$(address 301)/status

Try a query:

  curl -s $URL \\
    -H 'Authorization: Bearer $KEY' \\
    -d '$QUERY'

Take zone cz-b out:

  echo '{"zones": {"cz-b": {"out": true}}}' > $FOLDER/30-zone-cz-b.json

The first answer:

$ANSWER

Ctrl-C ends the demo.
EOT
while children_left; do
	sleep 1
done
die "all processes have ended; logs are in $RUN_DIR"
