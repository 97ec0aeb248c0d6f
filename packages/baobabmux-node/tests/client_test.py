"""Tests of the HTTP client at servers that do not read their requests."""

import socket
import struct

import curio
import h11
import pytest

from baobabmux_node import client, sockets

_BODY = b"u" * 3_000_000
_PART_BYTES = 20_000
_HEAD = b"HTTP/1.1 200 OK\r\n\r\n"


async def _serve(listener, answer):
    async with listener:
        peer, _ = await listener.accept()
        async with peer:
            await answer(peer)


def _ask(answer, body=_BODY, carry=None):
    """Returns the answer's body, or the error of a request.

    Args:
        answer: Coroutine function that serves the server's connection.
        body: Body of the request.
        carry: Coroutine function that waits before the answer is read.
    """

    async def run():
        listener = curio.tcp_server_socket("127.0.0.1", 0)
        # Takes the request although the server does not read it.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_000_000)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        await curio.spawn(_serve, listener, answer, daemon=True)
        connection = client.ClientConnection(address, 5.0)
        await connection.connect(1.0)
        try:
            await connection.request("POST", "/", {}, body)
            if carry is not None:
                await carry()
            await connection.head()
            return await connection.read(1_000_000)
        except client.ClientError as error:
            return type(error)
        finally:
            await connection.close()

    return curio.run(run)


async def _answer_early(peer):
    """Answers after a part of the request and ends its output."""
    read = 0
    while read < _PART_BYTES:
        read += len(await peer.recv(_PART_BYTES - read))
    await peer.sendall(_HEAD + b"part")
    await peer.shutdown(socket.SHUT_WR)


def _reset_after(seconds):
    async def answer(peer):
        await _answer_early(peer)
        await curio.sleep(seconds)
        linger = struct.pack("ii", 1, 0)
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    return answer


@pytest.fixture
def _patient(monkeypatch):
    """Allows for a busy machine, on which the reset comes later."""
    monkeypatch.setattr(sockets, "_RESET_SECONDS", 2.0)


@pytest.mark.usefixtures("_patient")
def test_end_beside_a_reset_does_not_complete_an_answer():
    """Guards against a part that is taken for a whole answer (MIXED).

    The server has read a part of the request. It ends its output, and closes
    the connection, which resets it.
    """
    assert _ask(_reset_after(0.0)) is client.BrokenError


def test_reset_is_noticed_after_the_end_was_received():
    """Guards against the same if the reset arrives before the end is read."""

    async def wait():
        await curio.sleep(0.1)

    assert _ask(_reset_after(0.0), carry=wait) is client.BrokenError


@pytest.mark.usefixtures("_patient")
def test_reset_a_moment_after_the_end_is_noticed():
    """Guards against the same if the end arrives before the reset does."""
    assert _ask(_reset_after(0.005)) is client.BrokenError


async def _answer_whole(peer):
    """Answers once the whole request was read, and closes the connection."""
    protocol = h11.Connection(h11.SERVER)
    while not isinstance(event := protocol.next_event(), h11.EndOfMessage):
        if event is h11.NEED_DATA:
            protocol.receive_data(await peer.recv(65_536))
    await peer.sendall(_HEAD + b"whole")


@pytest.mark.parametrize("body", [b"", b"u", _BODY], ids=len)
def test_answer_without_length_to_a_read_request_is_whole(body):
    """Guards against refusing sound answers that end with their connection."""
    assert _ask(_answer_whole, body) == b"whole"


@pytest.mark.parametrize("status", [0, 99, 600, 999, 1000, 20])
def test_status_outside_the_five_classes_is_no_answer(status):
    """Guards against passing on what is no answer in the protocol (MIXED)."""

    async def answer(peer):
        await peer.recv(65_536)
        await peer.sendall(
            b"HTTP/1.1 %03d X\r\ncontent-length: 1\r\n\r\nx" % status
        )

    assert _ask(answer, b"") in (client.ProtocolError, client.BrokenError)


@pytest.mark.parametrize("status", [200, 299, 302, 404, 599])
def test_status_of_the_four_final_classes_is_an_answer(status):
    """Guards against refusing statuses that the protocol allows."""

    async def answer(peer):
        await peer.recv(65_536)
        await peer.sendall(
            b"HTTP/1.1 %d X\r\ncontent-length: 1\r\n\r\nx" % status
        )

    assert _ask(answer, b"") == b"x"


async def _connected():
    """Returns both ends of a connection."""
    async with curio.tcp_server_socket("127.0.0.1", 0) as listener:
        port = listener.getsockname()[1]
        connection = client.ClientConnection(f"127.0.0.1:{port}", None)
        await connection.connect(1.0)
        endpoint, _ = await listener.accept()
    return connection, endpoint


def test_request_that_has_not_arrived_is_dropped_with_its_connection():
    """Guards against a request that arrives long after it was given up (DRAIN).

    The endpoint takes no bytes, as if its link were lost, until the connection
    has been closed.
    """

    async def run():
        connection, endpoint = await _connected()
        size = 50_000_000
        fields = [("Host", "x"), ("Content-Length", str(size))]
        sending = await curio.spawn(
            connection.send_request, "POST", "/", fields, size * b"x"
        )
        while connection.has_arrived():
            await curio.sleep(0.01)
        await sending.cancel()
        await connection.close()
        async with endpoint:
            while await endpoint.recv(1_000_000):
                pass

    with pytest.raises(ConnectionResetError):
        curio.run(run)


def test_request_that_has_arrived_is_not_reset_with_its_connection():
    """Guards against a reset of each connection whose answer is not awaited."""

    async def run():
        connection, endpoint = await _connected()
        await connection.send_request("GET", "/", [("Host", "x")], b"")
        while not connection.has_arrived():
            await curio.sleep(0.01)
        await connection.close()
        async with endpoint:
            received = b""
            while part := await endpoint.recv(1_000):
                received += part
        return received

    assert curio.run(run).startswith(b"GET / HTTP/1.1")
