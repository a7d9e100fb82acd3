#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 6 to 10 into build-review-2/. They use the C++ standard library and
# POSIX only. The project's own engine and fronts are those that the line `build` of deploy/balancer.toml builds.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -x build-bench/gatetiller ] || sh -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/balancer.toml)"
mkdir -p build-review-2
rm -f build-review-2/*
for source in review/stand-ins-2/*.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -o "build-review-2/$(basename "$source" .cpp)" "$source" &
done
wait
for source in review/stand-ins-2/*.cpp; do
  [ -x "build-review-2/$(basename "$source" .cpp)" ]
done
