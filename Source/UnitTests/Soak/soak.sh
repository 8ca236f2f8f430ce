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
# The number of a process that has ended may belong to another one by now, so
# only those that still run as jobs of this shell get signals.
signal() { # signal, node
  jobs -rp | grep -qx -- "${Pid[$2]:-none}" && kill "-$1" "${Pid[$2]}"
}
end() { # node
  signal KILL "$1"
  wait "${Pid[$1]:-}" 2> /dev/null
  unset "Pid[$1]"
}
cleanup() {
  for Node in "${!Pid[@]}"; do
    end "$Node"
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
    stop) signal TERM "$Node" ;;
    kill) end "$Node" ;;
    pause) signal STOP "$Node" ;;
    resume) signal CONT "$Node" ;;
    reload) signal HUP "$Node" ;;
    ended)
      Answer=no
      # Status 127: waited for before.
      if ! signal 0 "$Node"; then
        wait "${Pid[$Node]:-0}" 2> /dev/null
        Answer=$?
        unset "Pid[$Node]"
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
