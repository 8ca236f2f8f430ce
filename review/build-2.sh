#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
Out=target/review-2
mkdir -p "$Out"
Soak=Source/UnitTests/Soak
Common=("$Soak/PlatformStore.cpp" "$Soak/ThreadServer.cpp" "$Soak/CallerConnection.cpp")
compile() { g++ -std=c++20 -O1 -ISource -Ireview/standins-2 "$@"; }
Objects=()
for Each in "${Common[@]}"; do
  Object=$Out/$(basename "$Each" .cpp).o
  compile -c "$Each" -o "$Object" &
  Objects+=("$Object")
done
wait
for Case in review/*/case.cpp; do
  Number=$(basename "$(dirname "$Case")")
  compile "$Case" "${Objects[@]}" -lpthread -o "$Out/case-$Number" &
done
wait
for Case in review/*/case.cpp; do
  test -x "$Out/case-$(basename "$(dirname "$Case")")"
done
