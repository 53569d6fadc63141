#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts, those of the project that they use among them, into
# target/review-2. Needs the packages of deploy/system.toml alone.
set -euo pipefail
cd "$(dirname "$0")/.."
objects=target/review-2
mkdir -p "$objects"
sources=(review/rig-2/rig.cpp lab/system/dispatcher.cpp lab/system/http_call.cpp lab/fleet/process.cpp
  src/net/http_connection.cpp src/net/http_message.cpp src/net/http_send.cpp src/base/deadlines.cpp)
scripts=(unmade_store deleted_runner)
for script in "${scripts[@]}"; do sources+=("review/rig-2/$script.cpp"); done
export CXX="${CXX:-g++}" objects
printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -I{} bash -c '
  "$CXX" -std=c++20 -O1 -Wall -Wextra -DASIO_STANDALONE -I. -Isrc -pthread -c "$1" -o "$objects/$(basename "$1" .cpp).o"' _ {}
for script in "${scripts[@]}"; do
  shared=()
  for source in "${sources[@]}"; do
    name=$(basename "$source" .cpp)
    [[ " ${scripts[*]} " == *" $name "* ]] || shared+=("$objects/$name.o")
  done
  "$CXX" -pthread -o "$objects/review-$script" "$objects/$script.o" "${shared[@]}" -lhttp_parser
done
