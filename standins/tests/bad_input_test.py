"""Process tests: callers that violate HTTP or stop in the middle."""

import json
import socket

import pytest

from baobabmux_standins import ledger, testbed

LIMITS = {"receive_timeout_seconds": 1.0, "send_timeout_seconds": 2.0}


@pytest.fixture(scope="module")
def bed():
    nodes = {"n1": "col-a"}
    endpoints = {"e1": "col-a", "desk1": "col-a"}
    with testbed.Testbed(nodes, endpoints, limits=LIMITS) as started:
        yield started


def _connect(bed):
    host, port = bed.node("n1").callers.split(":")
    return socket.create_connection((host, int(port)), timeout=30)


def _read_all(connection):
    received = b""
    try:
        while data := connection.recv(65536):
            received += data
    except ConnectionResetError:
        pass
    return received


def _post(headers, body=b"", path="/wording"):
    lines = [f"POST {path} HTTP/1.1", "Host: n1", "Connection: close"]
    lines += [*headers, "", ""]
    return "\r\n".join(lines).encode() + body


def _content_length(body):
    return f"Content-Length: {len(body)}"


_CHUNK = b"10000\r\n" + b"x" * 0x10000 + b"\r\n"
_KEY_FIELD = "Idempotency-Key: "

CASES = {
    "oversize headers": (
        _post(["X-Long: " + "x" * 100_000]),
        "headers_too_large",
    ),
    "oversize body": (
        _post(["Content-Length: 50000000"]),
        "body_too_large",
    ),
    "oversize chunked body": (
        _post(["Transfer-Encoding: chunked"], _CHUNK * 40),
        "body_too_large",
    ),
    "broken JSON": (_post([_content_length(b"{")], b"{"), "bad_request"),
    "no JSON object": (_post([_content_length(b"[]")], b"[]"), "bad_request"),
    "wrong length": (_post(["Content-Length: -3"]), "bad_request"),
    "two lengths": (
        _post(["Content-Length: 3", "Content-Length: 4"], b"abcd"),
        "bad_request",
    ),
    "broken chunk": (
        _post(["Transfer-Encoding: chunked"], b"zz\r\n"),
        "bad_request",
    ),
    "no HTTP": (b"\x00\x01\x02 garbage\r\n\r\n", "bad_request"),
    "half body": (_post(["Content-Length: 100"], b"{"), "request_timeout"),
    "half headers": (b"POST /wording HTTP/1.1\r\nHos", "request_timeout"),
    "no route": (_post([_content_length(b"")], path="/nowhere"), "no_route"),
    "wrong deadline": (
        _post([_content_length(b""), "Baobabmux-Deadline: soon"]),
        "bad_request",
    ),
    "no key": (_post([_content_length(b"")], path="/numbers"), "key_required"),
    "key of version 4": (
        _post(
            [
                _content_length(b""),
                _KEY_FIELD + "7f1d3c1e-52b6-4a58-9f0c-2f3f3f9f4b11",
            ],
            path="/numbers",
        ),
        "bad_key",
    ),
    "old key": (
        _post(
            [
                _content_length(b""),
                _KEY_FIELD + "017f22e2-79b0-7cc3-98c4-dc0c0c07398f",
            ],
            path="/numbers",
        ),
        "key_expired",
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_bad_request_gets_its_documented_error(bed, name):
    """Guards against no answer, a wrong status or a run for bad input.

    Another request must be served while the bad one is open.
    """
    data, kind = CASES[name]
    runs = bed.counts().get("totals", {}).get("started", 0)
    with _connect(bed) as connection:
        connection.sendall(data)
        outcome = bed.send("n1", testbed.engine_call())
        head, _, body = _read_all(connection).partition(b"\r\n\r\n")
    assert outcome.is_successful, "another request was not served meanwhile"
    problem = json.loads(body)
    assert problem["kind"] == kind
    assert head.split(b" ")[1] == str(problem["status"]).encode()
    assert bed.counts()["totals"]["started"] == runs + 1


def test_slow_header_section_is_refused(bed):
    """Guards against a receive timeout that each received byte restarts."""
    with _connect(bed) as connection:
        connection.settimeout(0.25)
        connection.sendall(b"POST /wording HTTP/1.1\r\nX-Slow: ")
        for _ in range(80):  # Twenty times the receive timeout.
            connection.sendall(b"x")
            try:
                received = connection.recv(65536)
                break
            except TimeoutError:
                continue
        else:
            pytest.fail("the node still waits for the header section")
    assert received.startswith(b"HTTP/1.1 408 ")


def test_incomplete_requests_block_no_other_request(bed):
    """Guards against slow senders that keep the node from serving others."""
    connections = [_connect(bed) for _ in range(50)]
    for connection in connections:
        connection.sendall(_post(["Content-Length: 100"], b"{"))
    outcomes = [bed.send("n1", testbed.engine_call())]
    for connection in connections:
        connection.close()
    assert bed.violations(outcomes) == []
    assert outcomes[0].is_successful


def test_caller_that_stops_reading_blocks_no_other_request(bed):
    """Guards against a node that blocks while it sends an answer.

    A caller with a small receive buffer does not read its large answer.
    """
    call = testbed.plain_call(answer_bytes=7_000_000)
    fields = [f"{name}: {text}" for name, text in call.headers.items()]
    with socket.socket() as connection:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        host, port = bed.node("n1").callers.split(":")
        connection.connect((host, int(port)))
        headers = [*fields, _content_length(call.body)]
        connection.sendall(_post(headers, call.body, call.path))
        bed.wait_until_running(call)
        others = [testbed.engine_call() for _ in range(5)]
        outcomes = bed.send_together(("n1", other) for other in others)
    assert ledger.unsuccessful(outcomes) == []
    assert bed.violations(outcomes) == []
    assert bed.run_count(call) == 1


def test_request_with_another_method_is_refused(bed):
    """Guards against a route that accepts methods it does not declare."""
    with _connect(bed) as connection:
        connection.sendall(b"DELETE /wording HTTP/1.1\r\nHost: n1\r\n\r\n")
        connection.shutdown(socket.SHUT_WR)
        received = _read_all(connection)
    assert received.startswith(b"HTTP/1.1 405 ")
    assert b'"run_status":"not_run"' in received
