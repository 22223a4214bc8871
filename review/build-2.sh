#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 into build/review-2/. Needs the compiler alone, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for number in 6 7 8 9 10; do
  [ -f "review/$number/play.cpp" ] || continue
  "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/standin-2 -o "build/review-2/case-$number" "review/$number/play.cpp"
done
