#!/usr/bin/env bash
# Runs the case from the root of the repository. Needs the build of the deploy file and review/build.sh.
# TROUBLE=0 does the same without the disruption. Exit codes: 1 the rule was broken, 0 it held, 2 the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/twice ] && [ -x target/release/sardinerelay-platform ] || exit 2
if [ "${TROUBLE:-1}" = 0 ]; then
    exec target/review/twice review/1 calm
fi
exec target/review/twice review/1 trouble
