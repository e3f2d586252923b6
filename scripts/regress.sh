#!/usr/bin/env bash
# Scores the sites in force on the users' bench, one after the other, prints each day's
# worth and the mean of the days with trouble, and compares the means with the last ones
# committed. Exits with 1 where a gate fails, a rule is broken, or a mean has fallen by
# more than the noise of a score.
#
#   BENCH=<the bench's program> SITES=<folder with the site files> make regress
#
# JOBS days are played at a time (2); WHY goes into the bench's journal.
# RECORD=1 writes the means as the new ones to compare with.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly MEANS=docs/measurements/regress.tsv
readonly NOISE=0.03
readonly IN_FORCE=(
  large/tabwheel-mu-large
  further/sri-cyclamen
  further-grown/sri-cyclamen-grown
  grown/gridlog-lk-grown
  grown/tabwheel-mu-grown
)

if [ ! -x "${BENCH:-}" ] || [ ! -d "${SITES:-}" ]; then
  echo "regress: BENCH must name the users' bench and SITES the folder of their site files" >&2
  exit 2
fi

out=$(mktemp -d)
trap 'rm -r "$out"' EXIT
verdict=0
for site in "${IN_FORCE[@]}"; do
  report="$out/report"
  "$BENCH" score "$SITES/$site.toml" --jobs "${JOBS:-2}" --why "${WHY:-regression}" >"$report" 2>&1 || true
  echo "== $site"
  grep -E '^(quiet|trouble|scale|fresh)-[^ ]+ +[0-9]+/' "$report" || true
  mean=$(awk '/^(trouble|scale)-[0-9]+ +[0-9]+\// {sum += $4; n++} END {if (n) printf "%.3f", sum / n}' "$report")
  last=$(awk -v site="$site" '$1 == site {print $2}' "$MEANS" 2>/dev/null || true)
  echo "mean of the days with trouble: ${mean:-none}, last committed: ${last:-none}"
  grep -E '^GATE' "$report" || echo "no gate"
  if ! grep -q '^GATE passed' "$report" || grep -q 'BROKEN' "$report"; then
    verdict=1
  fi
  if [ -n "$mean" ] && [ -n "$last" ] && awk -v a="$mean" -v b="$last" -v noise="$NOISE" 'BEGIN {exit !(a < b - noise)}'; then
    echo "fell by more than $NOISE"
    verdict=1
  fi
  printf '%s\t%s\n' "$site" "${mean:-none}" >>"$out/means"
done
if [ -n "${RECORD:-}" ]; then
  cp "$out/means" "$MEANS"
fi
exit $verdict
