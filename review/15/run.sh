#!/bin/sh
# Build target/release and review/build-3.sh first. TROUBLE=0 leaves the lost answers out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-3/lost_answer review/15
