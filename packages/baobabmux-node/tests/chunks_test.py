"""Tests that answers that the server frames itself are the same as h11's."""

import curio
import h11
import pytest

from baobabmux_node import server

_PARTS = [b"id: 1\n\n", b"", b"x" * 70_000, b"\r\n0\r\n\r\n", b"end"]


def _expected(request, status, headers):
    """Returns the bytes that h11 sends for the parts of an answer."""
    http = h11.Connection(h11.SERVER)
    http.receive_data(request)
    while http.next_event() not in (h11.NEED_DATA, h11.PAUSED):
        pass
    reason = server._REASONS[status]
    data = http.send(
        h11.Response(status_code=status, headers=headers, reason=reason)
    )
    for part in _PARTS:
        data += http.send(h11.Data(data=part)) or b""
    return data + (http.send(h11.EndOfMessage()) or b"")


def _answer(request, status, headers):
    """Returns the bytes that the server sends, and the number of writes."""

    async def handle(exchange):
        await exchange.read_body(1000)
        await exchange.start(status, dict(headers))
        for part in _PARTS:
            await exchange.send(part)
        await exchange.finish()

    async def run():
        served = server.Server("127.0.0.1", 0, handle, server.Limits())
        served.start()
        task = await curio.spawn(served.serve, daemon=True)
        peer = await curio.open_connection("127.0.0.1", served.port)
        await peer.sendall(request)
        await peer.shutdown(1)
        data = b""
        while part := await peer.recv(65536):
            data += part
        await peer.close()
        await task.cancel()
        return data

    return curio.run(run)


@pytest.mark.parametrize("version", [b"1.1", b"1.0"])
@pytest.mark.parametrize("status", [200, 503])
@pytest.mark.parametrize("has_length", [False, True])
def test_stream_has_the_bytes_of_h11(version, status, has_length):
    """Guards against chunks that a caller cannot read, or that look ended."""
    request = b"POST /a HTTP/%b\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
    headers = [("content-type", "text/event-stream")]
    if has_length:
        headers.append(("content-length", str(sum(map(len, _PARTS)))))
    data = request % version
    assert _answer(data, status, headers) == _expected(data, status, headers)


def test_answer_without_a_body_has_no_chunks():
    """Guards against a body where the peer expects the next answer."""
    request = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
    with pytest.raises(h11.LocalProtocolError):
        _expected(request, 204, [])
    assert _answer(request, 204, []) == b"HTTP/1.1 204 No Content\r\n\r\n"


def test_whole_answer_is_one_write(monkeypatch):
    """Pattern: three calls to the kernel for each whole answer."""
    writes = []
    written = server._Connection._write

    async def count(connection, data):
        writes.append(data)
        await written(connection, data)

    monkeypatch.setattr(server._Connection, "_write", count)

    async def handle(exchange):
        await exchange.respond(200, {"a": "b"}, b"body")

    async def run():
        served = server.Server("127.0.0.1", 0, handle, server.Limits())
        served.start()
        task = await curio.spawn(served.serve, daemon=True)
        peer = await curio.open_connection("127.0.0.1", served.port)
        for method in (b"GET", b"HEAD"):
            await peer.sendall(method + b" / HTTP/1.1\r\nHost: x\r\n\r\n")
            while not (await peer.recv(65536)):
                pass
        await peer.close()
        await task.cancel()

    curio.run(run)
    head = b"HTTP/1.1 200 OK\r\na: b\r\ncontent-length: 4\r\n\r\n"
    assert writes == [head + b"body", head]
