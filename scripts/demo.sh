#!/usr/bin/env bash
# Runs a whole deployment on this machine: a stand-in platform with the
# workers' endpoints, 7 entries and 7 control processes. Publishes a manifest,
# sends requests, publishes a change that moves instances, sends more, stops
# everything gracefully, and exits with 0 only if nothing was lost.
#
# usage: demo.sh [portlouis|kelaniya]
#   HOLD=1 leaves it running after the first manifest, until it is interrupted.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=examples/${1:-portlouis}
entries=${ENTRIES:-7}
. scripts/deployment.sh
trap stop_all EXIT

load() { # count, seed
  bin/cyclamen-standin load --entry "$urls" --service "$services" --count "$1" --rate 400 \
    --work-ms 5 --repeat-share 0.05 --control-url $control --seed "$2"
}

start_deployment
urls=""
for i in $(seq "$entries"); do urls+="${urls:+,}http://127.0.0.1:$((18100 + i))"; done
services=$(sed -n '/"services"/,$p' "$dir/manifest.json" | sed -n 's/^      "name": "\([^"]*\)".*/\1/p' | head -5 | paste -sd,)

echo "== publishing the first manifest"
bin/cyclamenctl publish "$dir/manifest.json" --platform $platform --wait
ready
settled
if [ -n "${HOLD:-}" ]; then
  echo "== running until interrupted; callers at $urls"
  wait -n
  exit 1
fi
echo "== requests to services $services through all entries"
load 2000 1
echo "== publishing a change that moves instances, under load"
load 3000 2 >"$out/load-2.json" &
loader=$!
bin/cyclamenctl publish "$dir/manifest-2.json" --platform $platform --wait
settled
code=0
wait $loader || code=$?
cat "$out/load-2.json"
bin/cyclamenctl status --platform $platform
echo "== stopping all processes"
for pid in "${pids[@]:1}"; do kill -TERM "$pid"; done
for pid in "${pids[@]:1}"; do wait "$pid" || { echo "process $pid ended with $?"; code=1; }; done
[ $code -eq 0 ] && echo "== done: nothing lost" || echo "== FAILED with $code"
exit $code
