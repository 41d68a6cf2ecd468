#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start, into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -o target/review-3/scenarios review/standin-3/standin.cpp review/standin-3/scenarios.cpp
