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
deployment=${1:-portlouis}
entries=${ENTRIES:-7}
out=$(mktemp -d "${TMPDIR:-/tmp}/cyclamen-demo.XXXXXX")
platform=http://127.0.0.1:18500
control=http://127.0.0.1:18501
pids=()

stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}
trap stop_all EXIT

ids=()
peers=""
for i in $(seq "$entries"); do
  ids+=("entry/entry-$i" "control/control-$i")
  peers+="${peers:+, }entry-$i@127.0.0.1:$((18200 + i)), control-$i@127.0.0.1:$((18400 + i))"
done
bin/cyclamenctl certs --dir "$out/certs" --deployment "$deployment" "${ids[@]}" >/dev/null

mapfile -t zones < <(sed -n 's/.*{"name": "\([^"]*\)".*/\1/p' "examples/$deployment/fleet.json")
mapfile -t instances < <(sed -n 's/.*{"id": "\([^"]*\)", "zone".*/\1/p' "examples/$deployment/fleet.json")

settings() { # role, number, callers' section
  local role=$1 i=$2 peer operator
  if [ "$role" = entry ]; then peer=$((18200 + i)) operator=$((18300 + i)); else peer=$((18400 + i)) operator=$((18450 + i)); fi
  cat <<INI
[process]
id = $role-$i
zone = ${zones[$(((i - 1) % ${#zones[@]}))]}
instance = ${instances[$((i - 1))]}
deployment = $deployment
[platform]
url = $platform
[peer]
listen = 127.0.0.1:$peer
peers = $peers
ca = $out/certs/ca.pem
cert = $out/certs/$role-$role-$i.pem
key = $out/certs/$role-$role-$i-key.pem
[operator]
listen = 127.0.0.1:$operator
[timing]
ready_grace = 500ms
INI
  if [ "$role" = entry ]; then printf '[callers]\nlisten = 127.0.0.1:%d\n' $((18100 + i)); fi
}

echo "== starting $entries entries, $entries controls and the stand-in ($deployment); logs in $out"
bin/cyclamen-standin --fleet "examples/$deployment/fleet.json" --listen 127.0.0.1:18500 \
  --control 127.0.0.1:18501 --lag 200ms --reboot 300ms >"$out/standin.log" 2>&1 &
pids+=($!)
for i in $(seq "$entries"); do
  for role in entry control; do
    settings $role "$i" >"$out/$role-$i.ini"
    "bin/cyclamen-$role" --settings "$out/$role-$i.ini" >"$out/$role-$i.log" 2>&1 &
    pids+=($!)
  done
done

ready() { # waits until all entries are ready
  for i in $(seq "$entries"); do
    for _ in $(seq 300); do
      curl -fs -o /dev/null "http://127.0.0.1:$((18300 + i))/readyz" && continue 2
      sleep 0.1
    done
    echo "entry-$i is not ready:" && curl -s "http://127.0.0.1:$((18300 + i))/readyz"
    return 1
  done
}

moved() { # waits until no operation is in progress and all pools are filled
  bin/cyclamenctl settled --platform $platform --timeout 30s || {
    bin/cyclamenctl dump --platform $platform >"$out/dump.json"
    return 1
  }
}

urls=""
for i in $(seq "$entries"); do urls+="${urls:+,}http://127.0.0.1:$((18100 + i))"; done
services=$(grep -A3 '"services"' -A400 "examples/$deployment/manifest.json" | sed -n 's/^      "name": "\([^"]*\)".*/\1/p' | head -5 | paste -sd,)

load() {
  bin/cyclamen-standin load --entry "$urls" --service "$services" --count "$1" --rate 400 \
    --work-ms 5 --repeat-share 0.05 --control-url $control --seed "$2"
}

joined() { bin/cyclamenctl status --platform $platform 2>/dev/null | grep -c -E ' (entry|control) ' || true; }
for _ in $(seq 100); do [ "$(joined)" -eq $((2 * entries)) ] && break; sleep 0.1; done
echo "== publishing the first manifest"
bin/cyclamenctl publish "examples/$deployment/manifest.json" --platform $platform --wait
ready
moved
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
bin/cyclamenctl publish "examples/$deployment/manifest-2.json" --platform $platform --wait
moved
code=0
wait $loader || code=$?
cat "$out/load-2.json"
bin/cyclamenctl status --platform $platform
echo "== stopping all processes"
for pid in "${pids[@]:1}"; do kill -TERM "$pid"; done
for pid in "${pids[@]:1}"; do wait "$pid" || { echo "process $pid ended with $?"; code=1; }; done
[ $code -eq 0 ] && echo "== done: nothing lost" || echo "== FAILED with $code"
exit $code
