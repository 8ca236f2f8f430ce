#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, into review/build/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for Case in */main.cpp; do
  Number=$(dirname "$Case")
  Program=build/case-$Number
  if [ ! -x "$Program" ] || [ -n "$(find standins "$Case" -newer "$Program" -print -quit)" ]; then
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -I . -o "$Program" "$Case"
  fi
done
