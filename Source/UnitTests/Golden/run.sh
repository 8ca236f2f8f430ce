#!/usr/bin/env bash
# Compares one session's output with its golden file.
# Usage: run.sh PROGRAM STANDINS SESSION
set -uo pipefail
cd "$(dirname "$0")/../../.."
Golden=Source/UnitTests/Golden/golden/$3.txt
Source/UnitTests/Golden/session.sh "$1" "$2" "$3" 2>&1 | diff -u "$Golden" -
