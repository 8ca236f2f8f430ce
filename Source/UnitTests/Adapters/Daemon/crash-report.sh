#!/usr/bin/env bash
# Guards against a process that ends by a signal without a line that names the
# signal, the thread, its subject and the place: crash-report.sh PROBE
set -u
Status=0
check() { # kind, number of the signal
  local Output Ended
  Output=$( ("$1" "$2") 2> /dev/null)
  Ended=$?
  local Pattern='^\{"time":"20[0-9]{2}-[0-9]{2}-[0-9]{2}T[0-9:]{8}\.[0-9]{3}\+00:00","node":"n1","category":"process",'
  Pattern+='"action":"crashed","signal":'$3',"thread":"traffic","subject":"9c41d07be2","address":"0x[0-9a-f]+",'
  Pattern+='"frames":"[^"]*program\+0x[0-9a-f]+[^"]*"\}$'
  if [ "$Ended" -ne $((128 + $3)) ] || ! grep -qE "$Pattern" <<< "$Output"; then
    echo "$2: status $Ended, output: $Output" >&2
    Status=1
  fi
}
check "$1" recursion 11
check "$1" segmentation 11
check "$1" abort 6
# Nor may a reader that stands still keep it from ending.
timeout 5 "$1" full-pipe 2> /dev/null | sleep 1
Ended=${PIPESTATUS[0]}
if [ "$Ended" -ne 139 ]; then
  echo "full-pipe: status $Ended" >&2
  Status=1
fi
# Nor may one that is gone change the signal by which it ends.
("$1" late) 2> /dev/null | true
Ended=${PIPESTATUS[0]}
if [ "$Ended" -ne 139 ]; then
  echo "no reader: status $Ended" >&2
  Status=1
fi
exit $Status
