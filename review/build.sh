#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases with the Rust compiler alone, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standin/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = common ] && continue
    rustc --edition 2024 -O -A dead_code -o "target/review/$name" "$source"
done
