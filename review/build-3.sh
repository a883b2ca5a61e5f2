#!/usr/bin/env bash
# Builds the stand-ins and consumers of the scripted cases of the third review
# into target/review-3, after the build of the deploy file. They use nothing but
# the C++ library and the declared package nlohmann-json3-dev.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/case.cc; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -o "target/review-3/case-$number" "$source" -pthread
done
