#!/usr/bin/env bash
# Builds every stand-in that the scripts of review/6 to review/9 start, into target/review-2/.
# Needs only the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
for name in store server client load; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "$out/$name" "review/standins-2/$name.cc"
done
echo "stand-ins: built into $out"
