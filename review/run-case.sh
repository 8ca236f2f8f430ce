#!/usr/bin/env bash
# Starts the program of one case: run-case.sh FOLDER. Exits with 1 if the rule
# was broken, 0 if it held, 2 if the case could not run.
set -u
Case=$(cd "$1" && pwd)
Root=$(cd "$(dirname "$0")/.." && pwd)
Program=$Root/review/build/case-$(basename "$Case")
if [ ! -x "$Program" ]; then
  echo "run review/build.sh first" >&2
  exit 2
fi
Temporary=$(mktemp -d) || exit 2
Pid=
trap 'if [ -n "$Pid" ]; then kill "$Pid" 2> /dev/null; fi; rm -rf "$Temporary"' EXIT
"$Program" "$Root" "$Temporary" "$Case/record.txt" "${TROUBLE:-1}" &
Pid=$!
wait "$Pid"
Result=$?
Pid=
if [ -n "${KEEP_LOGS:-}" ]; then
  mkdir -p "$KEEP_LOGS"
  cp "$Temporary"/*.log "$KEEP_LOGS"/
fi
[ "$Result" -le 2 ] || Result=2
exit "$Result"
