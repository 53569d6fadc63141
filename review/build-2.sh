#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts, in target/review-2; lichenlugd is built as the deploy file says.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/rig-2 -B target/review-2 -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target/review-2 -j"$(nproc)"
