#!/usr/bin/env bash
# Runs one case in its folder; used by the cases' run.sh. Exits with 1 if the
# rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
Folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/.."
Program=target/review-2/case-$(basename "$Folder")
if [ ! -x target/bronzepass ] || [ ! -x "$Program" ]; then
  echo "build first: the build command of deploy/system.toml, then review/build-2.sh" >&2
  exit 2
fi
Temporary=$(mktemp -d)
trap 'rm -rf "$Temporary"' EXIT
TMPDIR=$Temporary timeout --kill-after=2 118 "$Program" "$Folder/record.txt"
Status=$?
case $Status in
  0 | 1) exit $Status ;;
  *) exit 2 ;;
esac
