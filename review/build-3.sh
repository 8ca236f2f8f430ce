#!/usr/bin/env bash
# Builds the stand-ins of the scripts of review/11 and up into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for Source in review/standins-3/*.cpp; do
  Name=$(basename "$Source" .cpp)
  g++ -std=c++20 -O1 -pthread -o "target/review-3/$Name" "$Source" &
done
wait
for Source in review/standins-3/*.cpp; do
  [ -x "target/review-3/$(basename "$Source" .cpp)" ]
done
