#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this folder start, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cpp; do
  number=$(basename "$(dirname "$source")")
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review/case-$number" "$source"
done
