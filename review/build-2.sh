#!/usr/bin/env bash
# Builds the stand-in of the scripts in review/6 to review/10, with the libraries that the project
# declares. The program goes to target/, beside the node that the deploy file builds. The stand-ins of
# review/7 are Python (standard library only); they are compiled as a check.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
read -ra libraries <<<"$(pkg-config --cflags --libs cpp-httplib libcrypto)"
g++ -std=c++20 -O1 -Wall -Wextra review/standin-2.cpp src/base64.cpp -o target/review-2/standin -pthread \
  "${libraries[@]}"
python3 - <<'CHECK'
for name in ("fleet", "waves"):
    path = f"review/7/{name}.py"
    compile(open(path).read(), path, "exec")
CHECK
