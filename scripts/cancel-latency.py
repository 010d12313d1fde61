#!/usr/bin/env python3
"""Measures the time from a caller's disconnect until the engine has cancelled its generation.

Usage: scripts/cancel-latency.py HOST:PORT ENGINE:PORT KEY MODEL [ROUNDS]. Both clocks are this machine's.
"""

import http.client
import json
import socket
import sys
import time


def record(engine, request):
    connection = http.client.HTTPConnection(engine)
    connection.request("GET", "/v1/record")
    records = json.loads(connection.getresponse().read())
    return next((entry for entry in records if entry["request"] == request), None)


def disconnect(host, key, model, request):
    """Starts a long stream, reads its first bytes and closes the connection."""
    body = json.dumps({"model": model, "prompt": request, "stream": True, "metadata": {"standin_tokens": 5000}})
    connection = http.client.HTTPConnection(host)
    headers = {"Authorization": f"Bearer {key}", "X-Request-Id": request}
    connection.request("POST", "/v1/completions", body, headers)
    response = connection.getresponse()
    response.read1(64)
    closed = time.time()
    connection.sock and connection.sock.shutdown(socket.SHUT_RDWR)
    response.close()
    connection.close()
    return closed


def main():
    host, engine, key, model = sys.argv[1:5]
    rounds = int(sys.argv[5]) if len(sys.argv) > 5 else 50
    delays = []
    for number in range(rounds):
        request = f"cancel-{time.time_ns()}-{number}"
        closed = disconnect(host, key, model, request)
        entry = None
        while entry is None or entry["outcome"] == "running":
            time.sleep(0.02)
            entry = record(engine, request)
        assert entry["outcome"] == "cancelled", entry
        delays.append(entry["ended_ms"] - closed * 1000)
    delays.sort()
    print(f"{rounds} disconnects, ms until cancelled: p50 {delays[rounds // 2]:.1f}, "
          f"p95 {delays[int(rounds * 0.95)]:.1f}, max {delays[-1]:.1f}")


if __name__ == "__main__":
    main()
