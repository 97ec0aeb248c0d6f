"""Tests of the reader of sockets, and that there is no other."""

import pathlib
import re
import socket

import curio
import pytest

from baobabmux_node import socket_reader

_ROOT = pathlib.Path(__file__).parents[3]
_SOURCES = ("packages/baobabmux-node/src", "platform/src")
_READ = re.compile(r"\.recv(_into|from|msg)?\(|\.as_stream\(|\.makefile\(")


def test_sockets_are_read_in_one_place():
    """Guards against a read that gives the other tasks no turn."""
    reading = {
        path.name
        for folder in _SOURCES
        for path in (_ROOT / folder).rglob("*.py")
        if _READ.search(path.read_text())
    }
    assert reading == {"socket_reader.py"}


async def _pair():
    ours, theirs = socket.socketpair()
    return curio.io.Socket(ours), theirs


@pytest.mark.parametrize("size", [1, 1_000])
def test_reader_gives_turns_while_data_is_there(size):
    """Guards against a peer that always has data ready (CONFIG)."""

    async def run():
        ours, theirs = await _pair()
        theirs.sendall(b"x" * 200 * size)
        reader = socket_reader.SocketReader(ours)
        for _ in range(200):
            assert await reader.receive(size) == b"x" * size
        theirs.close()
        return reader.turns

    assert curio.run(run) == 200 // socket_reader.STEPS_PER_TURN


def test_reader_that_waits_for_its_peer_gives_no_turn_besides():
    """Guards against a turn for each part of an ordinary answer."""

    async def run():
        ours, theirs = await _pair()
        reader = socket_reader.SocketReader(ours)

        async def send():
            for _ in range(100):
                theirs.sendall(b"x")
                await curio.sleep(0.0001)

        sender = await curio.spawn(send)
        received = 0
        while received < 100:
            received += len(await reader.receive(10))
        await sender.join()
        theirs.close()
        return reader.turns

    assert curio.run(run) == 0


def test_cancelled_reader_loses_no_bytes():
    """Guards against a part that is missing after a timeout."""

    async def run():
        ours, theirs = await _pair()
        reader = socket_reader.SocketReader(ours)
        received = b""
        for number in range(500):
            theirs.sendall(b"%3d" % number)
            task = await curio.spawn(reader.receive, 3)
            await curio.sleep(0)
            await task.cancel()
            if task.exception is None:
                received += task.result
        theirs.close()
        while part := await reader.receive(1_000):
            received += part
        return received

    assert curio.run(run) == b"".join(b"%3d" % n for n in range(500))
