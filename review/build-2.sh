#!/usr/bin/env bash
# Builds the stand-ins and consumers of the scripted cases into
# target/review-2, after the build of the deploy file. They use nothing but the
# C++ library and the declared package nlohmann-json3-dev.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/case.cc; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -o "target/review-2/case-$number" "$source" -pthread
done
