#!/usr/bin/env bash
# Plays the users' deployments on their bench and fails if a gate fails or a rule is broken.
#
#   bench/regression.sh [--all] [--quick] [--hunt] [--out DIR] WHY
#
# --all    also the first deployments and their grown forms; without it only the wider fleet
# --quick  only the light days of each
# --hunt   days with other luck beside the standard ones: 40, or 8 on a site of 60 machines or more
# --out    where the reports go, a new temporary folder by default
#
# KIT is the folder with the users' pages, JOBS the number of days to play at a time.
set -euo pipefail
cd "$(dirname "$0")/.."

kit=${KIT:-../given/kit/more/system}
jobs=${JOBS:-3}
sites="further/cdp-montevideo further-grown/cdp-montevideo-grown large/otaru-lantern-large"
earlier="sites/otaru-lantern sites/vatelin-route grown/otaru-lantern-grown grown/vatelin-route-grown"
quick="" hunt="" out="" why=""

usage() {
  sed -n '2,11s/^# \{0,1\}//p' "$0" >&2
  exit 2
}

while [ $# -gt 0 ]; do
  case "$1" in
  --all) sites="$sites $earlier" ;;
  --quick) quick=--quick ;;
  --hunt) hunt=yes ;;
  --out) shift && out=${1:?--out needs a folder} ;;
  -*) usage ;;
  *) why=$1 ;;
  esac
  shift
done
[ -n "$why" ] || usage

# The newest bench also plays the earlier sites.
bench=$(find "$kit/more" -path '*/bench-*/bin/fleetbench' 2>/dev/null | sort | tail -1 || true)
if [ -z "$bench" ]; then
  echo "regression: no bench below $kit/more; set KIT to the folder with the users' pages" >&2
  exit 2
fi
out=${out:-$(mktemp -d)}
mkdir -p "$out"
echo "reports in $out"

failed=0
for site in $sites; do
  name=$(basename "$site")
  report="$out/$name.txt"
  "$bench" score "$kit/$site.toml" $quick --jobs "$jobs" --why "$why" >"$report" 2>&1 || true
  grep -E '^score on|^GATE' "$report" || echo "$name: no result; see $report"
  grep -q '^GATE passed' "$report" || failed=1
  if [ -n "$hunt" ]; then
    days=40
    case "$name" in *-grown | *-large) days=8 ;; esac
    report="$out/$name-hunt.txt"
    "$bench" hunt "$kit/$site.toml" --days "$days" --jobs "$jobs" --why "$why" >"$report" 2>&1 || true
    grep -E 'with a rule broken' "$report" || echo "$name, hunt: no result; see $report"
    grep -q ' 0 with a rule broken' "$report" || failed=1
  fi
done
exit $failed
