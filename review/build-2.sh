#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases in target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.cpp; do
  name=$(basename "$source" .cpp)
  g++ -std=c++20 -O1 -pthread -o "target/review-2/$name" "$source"
done
