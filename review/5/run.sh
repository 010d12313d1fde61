#!/usr/bin/env bash
# Runs the case from the root of the repository. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/no_end ] && [ -x target/release/sardinerelay-platform ] || exit 2
exec target/review/no_end review/5
