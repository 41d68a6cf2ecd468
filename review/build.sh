#!/usr/bin/env bash
# Builds the stand-ins of the review into target/review/. Needs g++ and the JSON library of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o target/review/standin review/standin/*.cpp
