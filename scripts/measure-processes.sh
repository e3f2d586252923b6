#!/usr/bin/env bash
# Runs the real processes against a stand-in fleet of a given size and prints
# the roll-out time, and what an entry, the planner and another control process
# cost at rest.
#
# usage: measure-processes.sh WORKERS POOLS ENTRIES
set -euo pipefail
cd "$(dirname "$0")/.."
entries=$3
. scripts/deployment.sh
trap stop_all EXIT
dir=$(mktemp -d "${TMPDIR:-/tmp}/cyclamen-fleet.XXXXXX")
scripts/fleet-of.sh "$1" "$2" "$entries" "$dir"
start_deployment
bin/cyclamenctl publish "$dir/manifest.json" --platform $platform --wait
settled 300s
sleep 3
bytes() { awk '/^ *lo:/ {print $2}' /proc/net/dev; }
before=$(bytes)
planner=$(bin/cyclamenctl status --platform $platform | awk '/epoch/ {print $1}')
number=${planner#control-}
other=$((number % entries + 1))
echo "entry:    $(cost_of "${pids[1]}" 10)"
echo "planner:  $(cost_of "${pids[$((2 * number))]}" 10)"
echo "follower: $(cost_of "${pids[$((2 * other))]}" 10)"
echo "loopback: $((($(bytes) - before) / 30 / 1024)) KB/s by all processes together, the platform's answers included"
if [ -n "${PROFILE:-}" ]; then # a profile of the first entry and of the planner
  curl -s -o "$PROFILE-entry.prof" "http://127.0.0.1:18301/debug/pprof/profile?seconds=10"
  curl -s -o "$PROFILE-planner.prof" "http://127.0.0.1:$((18450 + number))/debug/pprof/profile?seconds=10"
fi
