"""Measures costs outside the core: sockets, log lines, imports and HTTP."""

import resource
import subprocess
import sys
import time

import eliot
import h11
import pynng

from baobabmux_bench import slopes


def socket_cpu() -> slopes.Slope:
    """CPU seconds to send and receive frames of 100 bytes, by their number.

    Both ends, and the threads of the library, run in this process.
    """
    data = b"x" * 100

    def run(count: int) -> float:
        with (
            pynng.Pull0(listen="tcp://127.0.0.1:0") as pull,
            pynng.Push0(
                dial=f"tcp://{pull.listeners[0].local_address}"
            ) as push,
        ):
            push.send(data)
            pull.recv()
            started = time.process_time()
            for _ in range(count):
                push.send(data)
                pull.recv()
            return time.process_time() - started

    return slopes.fit((500, 1000, 2000), run)


def log_line_cpu() -> slopes.Slope:
    """CPU seconds to write events as log lines, by their number."""
    fields = {"hlc": 1, "kind": 304, "node": "n", "request": "r" * 24}

    def run(count: int) -> None:
        for _ in range(count):
            eliot.log_message(message_type="304:grant_sent", **fields)

    with open("/dev/null", "w", encoding="utf-8") as sink:
        destination = eliot.FileDestination(file=sink)
        eliot.add_destinations(destination)
        try:
            return slopes.fit(
                (500, 1000, 2000),
                lambda n: slopes.cpu_seconds(lambda: n, run),
            )
        finally:
            eliot.remove_destination(destination)


def process_bytes(module: str) -> int:
    """Returns the resident memory of a process after an import in bytes."""
    code = f"import {module}; print(open('/proc/self/statm').read())"
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, check=True, text=True
    )
    return int(done.stdout.split()[1]) * resource.getpagesize()


def http_bytes(target: str, body: int) -> int:
    """Returns the minimum bytes of an HTTP request and its response."""
    client = h11.Connection(h11.CLIENT)
    server = h11.Connection(h11.SERVER)
    headers = [("host", "10.0.100.100:9000"), ("connection", "keep-alive")]
    request = client.send(
        h11.Request(method="GET", target=target, headers=headers)
    ) + client.send(h11.EndOfMessage())
    server.receive_data(request)
    while server.next_event() not in (h11.NEED_DATA, h11.PAUSED):
        continue
    answer = server.send(
        h11.Response(
            status_code=200,
            headers=[
                ("content-type", "application/json"),
                ("content-length", str(body)),
            ],
        )
    )
    return len(request) + len(answer) + body
