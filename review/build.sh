#!/usr/bin/env bash
# Builds the stand-ins of the scripts under review/ into target/review. The
# instances themselves come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for Source in review/[1-5]/*.cc; do
  [ -e "$Source" ] || continue
  Name=$(basename "$Source" .cc)
  g++ -std=c++20 -O1 -pthread -o "target/review/$Name" "$Source"
  echo "built target/review/$Name"
done
