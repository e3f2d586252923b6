# Functions that run a whole deployment on this machine; sourced by the other
# scripts. The caller sets: dir (fleet.json, manifest.json), entries.
platform=http://127.0.0.1:18500
control=http://127.0.0.1:18501
pids=()

stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}

settings() { # role, number
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

start_deployment() { # flags for the stand-in
  out=$(mktemp -d "${TMPDIR:-/tmp}/cyclamen.XXXXXX")
  deployment=$(sed -n 's/.*"deployment": "\([^"]*\)".*/\1/p' "$dir/manifest.json" | head -1)
  mapfile -t zones < <(grep -o '{"name": "[^"]*", "racks"' "$dir/fleet.json" | sed 's/.*"name": "\([^"]*\)".*/\1/')
  mapfile -t instances < <(sed -n 's/.*{"id": "\([^"]*\)", "zone".*/\1/p' "$dir/fleet.json")
  echo "== starting $entries entries, $entries controls and the stand-in ($deployment); logs in $out"
  ids=()
  peers=""
  for i in $(seq "$entries"); do
    ids+=("entry/entry-$i" "control/control-$i")
    peers+="${peers:+, }entry-$i@127.0.0.1:$((18200 + i)), control-$i@127.0.0.1:$((18400 + i))"
  done
  bin/cyclamenctl certs --dir "$out/certs" --deployment "$deployment" "${ids[@]}" >/dev/null
  bin/cyclamen-standin --fleet "$dir/fleet.json" --listen 127.0.0.1:18500 \
    --control 127.0.0.1:18501 --lag 200ms --reboot 300ms "$@" >"$out/standin.log" 2>&1 &
  pids+=($!)
  for i in $(seq "$entries"); do
    for role in entry control; do
      settings $role "$i" >"$out/$role-$i.ini"
      "bin/cyclamen-$role" --settings "$out/$role-$i.ini" >"$out/$role-$i.log" 2>&1 &
      pids+=($!)
    done
  done
  for _ in $(seq 300); do [ "$(joined)" -eq $((2 * entries)) ] && return; sleep 0.1; done
  echo "not all processes joined" && return 1
}

joined() { bin/cyclamenctl status --platform $platform 2>/dev/null | grep -c -E ' (entry|control) ' || true; }

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

settled() { # waits until no operation is in progress and all pools are filled
  bin/cyclamenctl settled --platform $platform --timeout "${1:-30s}" || {
    bin/cyclamenctl dump --platform $platform >"$out/dump.json"
    return 1
  }
}

# cost_of prints the processor time of a process over some seconds, as a part of
# a core, and its resident memory.
cost_of() { # pid, seconds
  local before after
  before=$(awk '{print $14+$15}' "/proc/$1/stat")
  sleep "$2"
  after=$(awk '{print $14+$15}' "/proc/$1/stat")
  awk -v t=$((after - before)) -v s="$2" -v hz="$(getconf CLK_TCK)" '/VmRSS/ {printf "%.1f%% of a core, %.1f MB\n", 100*t/hz/s, $2/1024}' "/proc/$1/status"
}
