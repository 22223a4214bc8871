#!/usr/bin/env bash
# Builds the stand-ins of the cases into build/review/. Needs a C++20 compiler and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review
for source in review/[0-9]*/case.cpp; do
  name=$(basename "$(dirname "$source")")
  "${CXX:-c++}" -std=c++20 -O2 -Wall -Wextra -pthread -Ireview/standin -o "build/review/case-$name" "$source"
done
