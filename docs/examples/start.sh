#!/usr/bin/env bash
# Starts the example of docs/OPERATIONS.md on loopback and keeps it running until it is interrupted.
set -euo pipefail
cd "$(dirname "$0")"
programs=../../dist
started=()
stop() {
	kill "${started[@]}" 2>/dev/null || true
	wait
}
trap stop EXIT
start() {
	node --no-deprecation "$programs/$1" --settings "$2" >"${TMPDIR:-/tmp}/cranberrytide-${2%.json}.log" &
	started+=($!)
}
start stand-ins/platform/main.js platform.json
start stand-ins/engine/main.js engines.json
start stand-ins/plain/main.js portal.json
start stand-ins/plain/main.js old-portal.json
for _ in $(seq 50); do ./publish.sh configuration.json 2>/dev/null && break || sleep 0.2; done
start src/entry/main.js host-a1.json
start src/entry/main.js host-a2.json
echo "Running; logs are in ${TMPDIR:-/tmp}/cranberrytide-*.log. Press Ctrl-C to stop."
wait
