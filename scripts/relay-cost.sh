#!/usr/bin/env bash
# Measures the daemon's processor time per token and its peak memory at several request rates. Prints
# a line of figures and the latencies for each rate. Requires a release build; uses only loopback.
# Usage: scripts/relay-cost.sh [RATES], with the rates in one argument, separated by spaces.
set -euo pipefail
cd "$(dirname "$0")/.."

BIN=target/release
WORK=$(mktemp -d)
PIDS=()
cleanup() {
    for pid in "${PIDS[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$WORK"
}
trap cleanup EXIT

# Starts a program in the background and sets ADDRESS to the address that it prints.
start() {
    local name=$1
    shift
    "$@" >"$WORK/$name.out" 2>"$WORK/$name.log" &
    PIDS+=($!)
    until grep -q '^listening on' "$WORK/$name.out"; do sleep 0.05; done
    ADDRESS=$(sed -n 's/^listening on //p' "$WORK/$name.out" | head -n 1)
}

# Processor time of a process in clock ticks, of which there are 100 per second, and its resident
# memory in KiB.
cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
resident_kib() { awk '/^VmRSS/ {print $2}' "/proc/$1/status"; }

start engine "$BIN/sardinerelay-standin" engine --name engine-0 --memory-tokens 20000000 \
    --max-running 20000 --record-limit 1000000
ENGINE=$ADDRESS
OPERATOR=127.0.0.1:11991
start daemon "$BIN/sardinerelayd" --listen 127.0.0.1:0 --operator-listen "$OPERATOR" \
    --peer-listen 127.0.0.1:11992 --log-level warn
DAEMON=${PIDS[-1]}
SERVER=$ADDRESS

cat >"$WORK/sheet.toml" <<EOF
number = 1
[[class]]
name = "plan"
priority = 0
max_wait_ms = 60000
[[target]]
name = "engine-0"
zone = "zone-a"
address = "$ENGINE"
memory_tokens = 20000000
[[model]]
name = "bend-planner"
version = "1"
targets = ["engine-0"]
[[organisation]]
name = "bench"
key_sha256 = ["$(printf bench | sha256sum | cut -d' ' -f1)"]
classes = ["plan"]
tokens_per_minute = 1000000000
requests_per_minute = 10000000
EOF
echo "bench bench" >"$WORK/keys"
"$BIN/sardinectl" --server "$OPERATOR" sheet submit "$WORK/sheet.toml" >/dev/null 2>&1
sleep 2

echo "requests/s  tokens/s  daemon core %  µs a token  peak MiB"
for rate in ${1:-10 20 40}; do
    ticks_before=$(cpu_ticks "$DAEMON")
    started_at=$(date +%s.%N)
    "$BIN/sardineload" --server "$SERVER" --key "$WORK/keys" --rate "$rate" --duration 20s --seed 1 \
        --plain-share 0 --leave-share 0 --slow-share 0 --json "$WORK/report.json" >"$WORK/load.txt" 2>&1 &
    load_pid=$!
    peak_kib=0
    while kill -0 "$load_pid" 2>/dev/null; do
        resident=$(resident_kib "$DAEMON")
        [ "$resident" -gt "$peak_kib" ] && peak_kib=$resident
        sleep 0.5
    done
    wait "$load_pid"
    seconds=$(echo "$(date +%s.%N) - $started_at" | bc)
    ticks=$(($(cpu_ticks "$DAEMON") - ticks_before))
    tokens=$(awk '/^between tokens/ {print $3}' "$WORK/load.txt")
    awk -v rate="$rate" -v tokens="$tokens" -v ticks="$ticks" -v seconds="$seconds" -v peak_kib="$peak_kib" 'BEGIN {
        cpu_seconds = ticks / 100
        printf "%10d  %8.0f  %13.1f  %10.1f  %8.1f\n", \
            rate, tokens / seconds, 100 * cpu_seconds / seconds, 1e6 * cpu_seconds / tokens, peak_kib / 1024
    }'
    grep -E '^(first token|between tokens|violations)' "$WORK/load.txt" | sed 's/^/    /'
done
