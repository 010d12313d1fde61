#!/usr/bin/env bash
# Compares the adaptive policy for admission and routing with the two baseline policies under the same
# seeded arrivals. Each policy gets three entry hosts in front of four small engines. All policies run
# at the same time on one machine.
# Usage: scripts/policies.sh WORKLOAD OBJECTIVE RATE DURATION SEED. Requires a release build.
set -euo pipefail
cd "$(dirname "$0")/.."

WORKLOAD=${1:-brakeline} OBJECTIVE=${2:-stall} RATE=${3:-12} DURATION=${4:-60s} SEED=${5:-1}
FIRST_PORT=${BASE_PORT:-13000}
BIN=$PWD/target/release
WORK=$(mktemp -d)
PIDS=()
cleanup() {
    for pid in "${PIDS[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$WORK"
}
trap cleanup EXIT

MODEL=bend-planner
[ "$WORKLOAD" = harakeke ] && MODEL=offcuts
echo 'the secret of the measurement' >"$WORK/secret"
echo 'bench bench' >"$WORK/keys"

# Starts the engines and hosts of one policy, submits the sheet and starts the load tool.
measure() {
    local policy=$1 port=$2 dir=$WORK/$1 host host_flags=() server_flags=() engine_flags=()
    mkdir -p "$dir"
    {
        printf 'number = 1\n[[class]]\nname = "plan"\npriority = 0\nmax_wait_ms = 30000\n'
        for i in 0 1 2 3; do
            printf '[[target]]\nname = "engine-%s"\nzone = "zone-a"\naddress = "127.0.0.1:%s"\nmemory_tokens = 20000\n' \
                "$i" $((port + i))
        done
        printf '[[model]]\nname = "%s"\nversion = "1"\n' "$MODEL"
        printf 'targets = ["engine-0", "engine-1", "engine-2", "engine-3"]\n'
        printf '[[organisation]]\nname = "bench"\nkey_sha256 = ["%s"]\nclasses = ["plan"]\n' \
            "$(printf bench | sha256sum | cut -d' ' -f1)"
        printf 'tokens_per_minute = 1000000000\nrequests_per_minute = 10000000\n'
    } >"$dir/sheet.toml"
    for i in 0 1 2 3; do
        "$BIN/sardinerelay-standin" engine --listen 127.0.0.1:$((port + i)) --name "engine-$i" --model "$MODEL" \
            --memory-tokens 20000 --max-running 256 --seed "$i" --record-limit 1000000 >/dev/null 2>&1 &
        PIDS+=($!)
        engine_flags+=(--engine 127.0.0.1:$((port + i)))
    done
    for host in 1 2 3; do
        [ "$host" = 1 ] && host_flags+=(--voter) || host_flags+=(--host)
        host_flags+=("$host,zone-a,127.0.0.1:$((port + 10 + host))")
        server_flags+=(--server 127.0.0.1:$((port + 20 + host)))
    done
    for host in 1 2 3; do
        local data_flags=()
        [ "$host" = 1 ] && data_flags=(--data-dir "$dir/data" --bootstrap)
        "$BIN/sardinerelayd" --host-id "$host" --zone zone-a --secret-file "$WORK/secret" \
            "${host_flags[@]}" "${data_flags[@]}" \
            --listen 127.0.0.1:$((port + 20 + host)) --peer-listen 127.0.0.1:$((port + 10 + host)) \
            --operator-listen 127.0.0.1:$((port + 30 + host)) --policy "$policy" --objective "$OBJECTIVE" \
            --log-level warn >/dev/null 2>"$dir/host-$host.log" &
        PIDS+=($!)
    done
    sleep 3
    "$BIN/sardinectl" --server 127.0.0.1:$((port + 31)) --secret-file "$WORK/secret" sheet submit "$dir/sheet.toml" \
        >/dev/null 2>&1
    sleep 2
    "$BIN/sardineload" "${server_flags[@]}" "${engine_flags[@]}" --key "$WORK/keys" \
        --workload "$WORKLOAD" --rate "$RATE" --duration "$DURATION" --seed "$SEED" \
        --plain-share 0 --slow-share 0 >"$dir/report.txt" 2>&1 &
    LOAD_PIDS+=($!)
}

LOAD_PIDS=()
port=$FIRST_PORT
for policy in round-robin least-in-flight adaptive; do
    measure "$policy" "$port"
    port=$((port + 100))
done
for pid in "${LOAD_PIDS[@]}"; do wait "$pid" || true; done
for policy in round-robin least-in-flight adaptive; do
    echo "== $WORKLOAD, $policy, objective $OBJECTIVE, $RATE requests/s for $DURATION, seed $SEED"
    grep -E '^(goodput|stall|preemptions|plan |question|draft|sort|first token|between tokens|violations)|^ +arrived|^kind|^latency' \
        "$WORK/$policy/report.txt"
done
