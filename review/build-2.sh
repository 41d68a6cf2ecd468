#!/bin/sh
# Builds the stand-ins that the scripts in review/6 to review/10 start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O2 -Wall -Wextra -pthread -o target/review-2/standin-2 review/standin-2/cases.cpp
