#!/usr/bin/env bash
# Starts bronzepass-soak and the node processes that it asks for, line by line.
# Usage: soak.sh PROGRAM SOAK [options of bronzepass-soak]
# Keeps the logs and prints their folder if a promise was broken.
set -uo pipefail
Program=$1
Soak=$2
shift 2
Dir=$(mktemp -d)
declare -A Pid
cleanup() {
  for Node in "${!Pid[@]}"; do
    kill -9 "${Pid[$Node]}" 2> /dev/null
    wait "${Pid[$Node]}" 2> /dev/null
  done
}
trap cleanup EXIT

coproc SOAK { "$Soak" --folder "$Dir" "$@" 2> "$Dir/soak.log"; }
SoakPid=$SOAK_PID
exec 3<&"${SOAK[0]}" 4>&"${SOAK[1]}"
while read -r Verb Node <&3; do
  Answer=done
  case $Verb in
    start)
      "$Program" gateway "$Dir/node-$Node.yaml" >> "$Dir/node-$Node.log" 2>&1 3<&- 4>&- &
      Pid[$Node]=$!
      ;;
    stop) kill -TERM "${Pid[$Node]}" ;;
    kill)
      kill -9 "${Pid[$Node]}" 2> /dev/null
      wait "${Pid[$Node]}" 2> /dev/null
      ;;
    pause) kill -STOP "${Pid[$Node]}" ;;
    resume) kill -CONT "${Pid[$Node]}" ;;
    reload) kill -HUP "${Pid[$Node]}" 2> /dev/null ;;
    ended)
      Answer=no
      if ! kill -0 "${Pid[$Node]}" 2> /dev/null; then
        wait "${Pid[$Node]}"
        Answer=$?
      fi
      ;;
  esac
  echo "$Answer" >&4
done
wait "$SoakPid"
Status=$?
grep '^broken: ' "$Dir/soak.log" | head -n 20
grep -v '^broken: ' "$Dir/soak.log"
if [ "$Status" -eq 0 ]; then
  rm -rf "$Dir"
else
  echo "logs: $Dir"
fi
exit "$Status"
