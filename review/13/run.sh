#!/bin/sh
# Build target/release and review/build-3.sh first. TROUBLE=0 leaves the voters alone; machine 4 is stopped all the same.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-3/rolled review/13
