#!/usr/bin/env python3
"""Measures the time from a caller's disconnect until the engine has cancelled its generation.

Usage: scripts/cancel-latency.py HOST:PORT ENGINE:PORT KEY MODEL [ROUNDS]. Run it on the engine's machine, since it
compares the engine's clock with its own.
"""

import http.client
import json
import socket
import sys
import time


def find_record(engine, request_id):
    """Returns the engine's record of the generation with this request id, or None."""
    connection = http.client.HTTPConnection(engine)
    connection.request("GET", "/v1/record")
    records = json.loads(connection.getresponse().read())
    return next((record for record in records if record["request"] == request_id), None)


def start_and_disconnect(host, key, model, request_id):
    """Starts a long stream, reads its first bytes and closes the connection. Returns the time of the close."""
    body = json.dumps({"model": model, "prompt": request_id, "stream": True, "metadata": {"standin_tokens": 5000}})
    connection = http.client.HTTPConnection(host)
    headers = {"Authorization": f"Bearer {key}", "X-Request-Id": request_id}
    connection.request("POST", "/v1/completions", body, headers)
    response = connection.getresponse()
    response.read1(64)
    closed_at = time.time()
    connection.sock and connection.sock.shutdown(socket.SHUT_RDWR)
    response.close()
    connection.close()
    return closed_at


def main():
    host, engine, key, model = sys.argv[1:5]
    rounds = int(sys.argv[5]) if len(sys.argv) > 5 else 50
    latencies_ms = []
    for number in range(rounds):
        request_id = f"cancel-{time.time_ns()}-{number}"
        closed_at = start_and_disconnect(host, key, model, request_id)
        record = None
        while record is None or record["outcome"] == "running":
            time.sleep(0.02)
            record = find_record(engine, request_id)
        assert record["outcome"] == "cancelled", record
        latencies_ms.append(record["ended_ms"] - closed_at * 1000)
    latencies_ms.sort()
    print(f"{rounds} disconnects, ms until cancelled: p50 {latencies_ms[rounds // 2]:.1f}, "
          f"p95 {latencies_ms[int(rounds * 0.95)]:.1f}, max {latencies_ms[-1]:.1f}")


if __name__ == "__main__":
    main()
