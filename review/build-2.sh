#!/usr/bin/env bash
# Builds the stand-in that the scripts of review/6 to review/10 start, with the libraries that the
# project declares. The program goes to target/, beside the node that the deploy file builds.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
read -ra libraries <<<"$(pkg-config --cflags --libs cpp-httplib libcrypto)"
g++ -std=c++20 -O1 -Wall -Wextra review/standin-2.cpp src/base64.cpp -o target/review-2/standin -pthread \
  "${libraries[@]}"
