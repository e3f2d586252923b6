#!/usr/bin/env bash
# Writes a fleet description and a manifest of a given size, for measurements.
#
# usage: fleet-of.sh WORKERS POOLS ENTRIES DIRECTORY
set -euo pipefail
workers=$1 pools=$2 entries=$3 dir=$4
zones=5
racks=$((workers / 4 / zones))
size=$((racks * 4 * zones * 9 / 10 / pools))
{
  printf '{"zones": ['
  for z in $(seq $zones); do printf '%s{"name": "zone-%d", "racks": %d}' "$([ "$z" -gt 1 ] && echo ', ')" "$z" "$racks"; done
  printf '], "instances_per_rack": 4, "cores": 16, "memory_mb": 65536, "slots": 8, "connections": 64, "id_prefix": "w",\n "entries": ['
  for i in $(seq "$entries"); do printf '%s\n  {"id": "e%d", "zone": "zone-%d", "addr": "127.0.0.1:%d"}' "$([ "$i" -gt 1 ] && echo ,)" "$i" $(((i - 1) % zones + 1)) $((18100 + i)); done
  printf '\n ]}\n'
} >"$dir/fleet.json"
{
  printf '{"version": 1, "deployment": "large", "buffer": {"survive": "rack"},\n "pools": ['
  for p in $(seq "$pools"); do printf '%s\n  {"name": "pool-%02d", "instances": {"count": %d}, "maintenance": {"revision": 1}}' "$([ "$p" -gt 1 ] && echo ,)" "$p" "$size"; done
  printf '],\n "services": ['
  for p in $(seq "$pools"); do printf '%s\n  {"name": "pool-%02d", "pool": "pool-%02d", "min_available": %d, "classes": [{"name": "all", "idempotent": true, "deadline_ms": 2000}]}' "$([ "$p" -gt 1 ] && echo ,)" "$p" "$p" $((size * 7 / 10 > 0 ? size * 7 / 10 : 1)); done
  printf ']}\n'
} >"$dir/manifest.json"
