#!/usr/bin/env bash
# Runs a session against real processes on loopback and prints what callers and
# operators see. run.sh compares the output with golden/*.txt, so numbers that
# depend on time are filtered out.
# Usage: session.sh PROGRAM STANDINS SESSION
set -uo pipefail
Program=$1
StandIns=$2
Session=$3
Examples=$PWD/Examples/demo
Dir=$(mktemp -d)
# Each session has its own ports, so that sessions can run in parallel.
case $Session in
  operators) Base=20 ;;
  stop) Base=21 ;;
  kill) Base=22 ;;
  outage) Base=23 ;;
  *) echo "no session $Session" >&2; exit 2 ;;
esac
declare -A Pid
cleanup() {
  for Name in "${!Pid[@]}"; do
    kill -9 "${Pid[$Name]}" 2> /dev/null
    wait "${Pid[$Name]}" 2> /dev/null
  done
  rm -rf "$Dir"
}
trap cleanup EXIT

ports() { sed "s/127\.0\.0\.1:18/127.0.0.1:$Base/g" "$1"; }
port() { echo "127.0.0.1:$Base$1"; }
start() { # name, command...
  local Name=$1
  shift
  "$@" > "$Dir/$Name.log" 2>&1 &
  Pid[$Name]=$!
}
wait_for() { # what, command...
  local What=$1 Until=$((SECONDS + 90))
  shift
  until "$@" > /dev/null 2>&1; do
    if [ "$SECONDS" -ge "$Until" ]; then
      echo "waited in vain for $What"
      tail -n 5 "$Dir"/*.log
      exit 1
    fi
    sleep 0.05
  done
}
node() { # number
  ports "$Examples/node-$1.yaml" > "$Dir/node-$1.yaml"
  start "node-$1" "$Program" serve "$Dir/node-$1.yaml"
}
ready() { curl -fsS "http://$(port 28"$1")/ready"; }
plain() { # node, model, tokens
  curl -sS --max-time 60 -H 'Bronzepass-Window: 30s' \
    -d "{\"model\":\"$2\",\"prompt\":\"p\",\"max_tokens\":$3}" "http://$(port 08"$1")/v1/completions"
}
answers() { plain "$1" "$2" 1 | grep -q '"finish_reason":"length"'; }
both_serve() { answers 1 gas && answers 2 gas && answers 1 summary && answers 2 summary; }
certificate() { # node, key, window
  curl -sS --max-time 60 -H "Idempotency-Key: $2" -H "Bronzepass-Window: $3" \
    -d '{"unit":"T-17"}' "http://$(port 08"$1")/certificates/issue"
  echo
}
operator() { # command, options...
  local Command=$1
  shift
  "$Program" "$Command" "$@" --object-api "$(port 001)" 2>&1
  echo "exit $?"
}
faults() { curl -fsS -d "$1" "http://$(port 001)/faults" > /dev/null; }
step() { echo "== $*"; }

set_up() {
  start objects "$StandIns" objects --port "${Base}001"
  for I in 1 2 3; do
    start "engine-$I" "$StandIns" engine --name "engine-$I" --port "${Base}10$I" \
      --memory-bytes $((40 << 30)) --slots 32 --load-ms 200
  done
  start service "$StandIns" service --port "${Base}121"
  ports "$Examples/vms.json" > "$Dir/vms.json"
  wait_for "the object API" curl -fsS -X PUT --data-binary "@$Dir/vms.json" \
    "http://$(port 001)/apis/bronzepass.example/v1/vms"
  ports "$Examples/intent.yaml" > "$Dir/intent.yaml"
  node 1
  node 2
  wait_for "node 1" curl -fsS "http://$(port 281)/live"
  wait_for "node 2" curl -fsS "http://$(port 282)/live"
}
first_apply() {
  step "the first intent is applied and in force on both nodes"
  wait_for "node 1 to know node 2" sh -c "$Program status --node $(port 281) | grep -q '^entry-2.*live'"
  operator apply "$Dir/intent.yaml" --author ana --wait 60s --node "$(port 281)"
  wait_for "both nodes to be ready" sh -c "curl -fsS http://$(port 281)/ready && curl -fsS http://$(port 282)/ready"
  wait_for "both nodes to serve both models" both_serve
}

operators() {
  set_up
  first_apply
  step "two operators change the same generation"
  "$Program" get --object-api "$(port 001)" > "$Dir/ana.yaml"
  "$Program" get --object-api "$(port 001)" > "$Dir/luis.yaml"
  sed -i 's/^callers:/callers:\n  - {name: night-shift, priority: interactive}/' "$Dir/ana.yaml"
  sed -i 's/min-copies: 2/min-copies: 1/' "$Dir/luis.yaml"
  operator diff "$Dir/luis.yaml"
  operator apply "$Dir/ana.yaml" --author ana
  operator apply "$Dir/luis.yaml" --author luis
  step "an intent with findings is rejected as a whole"
  sed 's/fencing: refuses/fencing: refuse/; s/base: gas/base: gaz/' "$Dir/intent.yaml" > "$Dir/faulty.yaml"
  operator apply "$Dir/faulty.yaml" --author ana | sed "s#$Dir/##"
  step "an endpoint is drained, and drained again"
  operator drain engine-2 --author luis
  operator drain engine-2 --author luis
  operator drain engine-9 --author luis
  wait_for "both nodes to follow" sh -c "$Program status --node $(port 282) | grep -q 'generation 3'"
  wait_for "the models to leave engine-2" sh -c \
    "! $Program status --node $(port 281) | grep -E '^(gas|summary)@1' | grep -q 'engine-2'"
  plain 1 gas 1 | grep -o '"finish_reason":"length"'
  plain 2 summary 1 | grep -o '"finish_reason":"length"'
  step "the drain is undone"
  operator drain engine-2 --undo --author luis
  operator get --history
  step "error responses to callers"
  plain 1 gaz 1
  echo
  curl -sS -d '{"model":' "http://$(port 081)/v1/completions"
  echo
  curl -sS -H 'Bronzepass-Caller: boards' -d '{"model":"gas","prompt":"p"}' "http://$(port 082)/v1/completions"
  echo
  step "two nodes receive the same key at the same time"
  certificate 1 k-1 30s > "$Dir/first" &
  local First=$!
  certificate 2 k-1 30s > "$Dir/second"
  wait "$First"
  cat "$Dir/first" "$Dir/second"
  curl -sS "http://$(port 121)/runs" | grep -o '"runs":[0-9]*'
}

stop() {
  set_up
  first_apply
  step "SIGTERM during a stream: the stream completes, the process exits 0"
  curl -sSN --max-time 60 -H 'Bronzepass-Window: 60s' \
    -d '{"model":"gas","prompt":"p","max_tokens":400,"stream":true}' \
    "http://$(port 081)/v1/completions" > "$Dir/stream" &
  local Stream=$!
  wait_for "the first piece" grep -q '^data: ' "$Dir/stream"
  kill -TERM "${Pid[node-1]}"
  wait_for "node 1 to be out of the balancer" sh -c "! curl -fsS http://$(port 281)/ready"
  curl -sS "http://$(port 281)/ready" | grep -o '"reason": *"[^"]*"'
  wait "$Stream"
  echo "pieces: $(grep -c '^data: {' "$Dir/stream"), marker: $(grep -c '^data: \[DONE\]' "$Dir/stream")"
  wait "${Pid[node-1]}"
  echo "node 1 exited with $?"
  unset "Pid[node-1]"
  step "the other node answers"
  plain 2 gas 1 | grep -o '"finish_reason":"length"'
}

kill_node() {
  set_up
  first_apply
  step "node 2 is killed; node 1 answers"
  kill -KILL "${Pid[node-2]}"
  wait "${Pid[node-2]}" 2> /dev/null
  plain 1 gas 1 | grep -o '"finish_reason":"length"'
  step "its replacement learns the configuration and answers"
  node 2
  wait_for "node 2 to be ready" ready 2
  plain 2 summary 1 | grep -o '"finish_reason":"length"'
  certificate 2 k-2 30s
  certificate 1 k-2 30s
  step "an engine is killed; every model still answers"
  kill -KILL "${Pid[engine-2]}"
  wait "${Pid[engine-2]}" 2> /dev/null
  wait_for "both models to answer on both nodes" both_serve
  for Number in 1 2; do
    plain "$Number" gas 1 | grep -o '"finish_reason":"length"'
    plain "$Number" summary 1 | grep -o '"finish_reason":"length"'
  done
}

outage() {
  set_up
  first_apply
  certificate 1 k-3 30s
  step "the object API is down: models answer"
  faults '{"down":true}'
  plain 1 gas 1 | grep -o '"finish_reason":"length"'
  plain 2 summary 1 | grep -o '"finish_reason":"length"'
  step "a new key can't be recorded: the request does not run"
  certificate 2 k-4 1s | grep -o '"run_state": *"[^"]*"'
  step "an operator's change is not accepted"
  operator drain engine-1 --author ana --patience 500ms
  step "a node that boots now learns the configuration from its peer"
  kill -KILL "${Pid[node-2]}"
  wait "${Pid[node-2]}" 2> /dev/null
  node 2
  wait_for "node 2 to be ready" ready 2
  plain 2 gas 1 | grep -o '"finish_reason":"length"'
  step "the object API is back: the keyed request runs exactly once"
  faults '{"down":false}'
  wait_for "a certificate to be issued" sh -c \
    "curl -fsS -H 'Idempotency-Key: k-4' -H 'Bronzepass-Window: 30s' -d '{\"unit\":\"T-17\"}' http://$(port 082)/certificates/issue"
  certificate 1 k-4 30s
  curl -sS "http://$(port 121)/runs" | grep -o '"runs":[0-9]*'
}

case $Session in
  kill) kill_node ;;
  *) "$Session" ;;
esac
