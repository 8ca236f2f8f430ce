#!/usr/bin/env bash
# Starts bronzepass-crowd and the node that it asks for, line by line.
# Usage: crowd.sh PROGRAM CROWD ATTACK PORT
# Keeps the logs and prints their folder if a check failed.
set -uo pipefail
Program=$1
Crowd=$2
Attack=$3
Port=$4
Dir=$(mktemp -d)
Pid=
isRunning() { [ -n "$Pid" ] && jobs -rp | grep -qx -- "$Pid"; }
cleanup() { if isRunning; then kill -KILL "$Pid"; fi; }
trap cleanup EXIT

coproc CROWD { "$Crowd" "$Attack" "$Port" "$Dir" 2> "$Dir/crowd.log"; }
CrowdPid=$CROWD_PID
exec 3<&"${CROWD[0]}" 4>&"${CROWD[1]}"
while read -r Verb <&3; do
  Answer=
  case $Verb in
    start)
      "$Program" gateway "$Dir/node.yaml" >> "$Dir/node.log" 2>&1 3<&- 4>&- &
      Pid=$!
      Answer=$Pid
      ;;
    ended)
      Answer=no
      if ! isRunning; then
        wait "$Pid" 2> /dev/null
        Answer=$?
      fi
      ;;
    stop)
      kill -KILL "$Pid"
      wait "$Pid" 2> /dev/null
      ;;
  esac
  echo "$Answer" >&4
done
wait "$CrowdPid"
Status=$?
cat "$Dir/crowd.log"
if [ "$Status" -eq 0 ]; then
  rm -rf "$Dir"
else
  echo "logs: $Dir"
fi
exit "$Status"
