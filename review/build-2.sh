#!/bin/sh
# Builds the stand-ins that the scripts of this review start, with the compiler alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for name in late_stop slow_reader new_leader steady_reader long_keep_alive; do
    rustc --edition 2024 -O -o "target/review-2/$name" "review/standin-2/$name.rs"
done
