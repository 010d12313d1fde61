#!/bin/sh
# Builds the stand-ins that the scripts of this review start, with the compiler alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for name in successor restarted rolled deadly lost_answer; do
    rustc --edition 2024 -O -o "target/review-3/$name" "review/standin-3/$name.rs"
done
