#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/. Run after the build of the deploy file; needs
# only the packages that the deploy file names.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -Wall -Wextra -o target/review/standin review/standin.cpp \
  $(pkg-config --cflags --libs cpp-httplib) -pthread
