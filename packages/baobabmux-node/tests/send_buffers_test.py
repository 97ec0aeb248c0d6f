"""Tests of answers that callers read slowly or not at all."""

import contextlib

import curio
import pytest

from baobabmux_node import send_buffers, server, sockets

_PART = b"x" * 200_000
_PARTS = 100
_SLOW = 20
_MAX_UNREAD = 8_000_000


class _Parts:
    """A server whose `/long` answers have many parts, and others one.

    Attributes:
        ended: Number of long answers that no longer need an endpoint.
    """

    def __init__(self, **limits):
        limits = {"max_unread_bytes": _MAX_UNREAD, **limits}
        self.ended = 0
        self.most_unread = 0
        self.server = server.Server(
            "127.0.0.1", 0, self._handle, server.Limits(**limits)
        )
        self.server.start()

    async def _handle(self, exchange):
        if exchange.path != "/long":
            await exchange.respond(200, {}, b"short")
            return
        try:
            await exchange.start(200, {})
            for _ in range(_PARTS):
                await exchange.send(_PART)
                unread = self.server.unread.used
                self.most_unread = max(self.most_unread, unread)
            await exchange.finish()
        finally:
            self.ended += 1

    async def connect(self, path):
        peer = await curio.open_connection("127.0.0.1", self.server.port)
        await peer.sendall(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        return peer


def _run(steps, **limits):
    async def run():
        parts = _Parts(**limits)
        task = await curio.spawn(parts.server.serve, daemon=True)
        try:
            return await steps(parts)
        finally:
            await task.cancel()

    return curio.run(run)


async def _until(condition):
    async with curio.timeout_after(30.0):
        while not condition():
            await curio.sleep(0.02)


async def _read_to_end(peer):
    data = b""
    async with curio.timeout_after(30.0):
        while not data.endswith(b"0\r\n\r\n"):
            part = await peer.recv(65536)
            if not part:
                break
            data += part
    return data


def test_short_answers_free_their_endpoint_before_they_are_read():
    """Guards against slots that wait for slow readers."""

    async def steps(parts):
        peer = await parts.connect("/long")
        await _until(lambda: parts.ended == 1)
        answer = await _read_to_end(peer)
        await _until(lambda: parts.server.unread.used == 0)
        return answer

    # The whole answer fits into the part of one connection.
    answer = _run(steps, max_unread_bytes=32 * _PARTS * 201_000)
    assert answer.count(_PART[:1]) >= _PARTS * len(_PART)
    assert answer.endswith(b"0\r\n\r\n")


def test_many_slow_readers_stay_within_the_bound_and_are_cut_off():
    """Guards against memory and endpoints that slow readers keep."""

    async def steps(parts):
        peers = [await parts.connect("/long") for _ in range(_SLOW)]
        await _until(lambda: parts.ended == len(peers))
        unread = parts.server.unread
        cut_off = unread.cut_off
        for peer in peers:
            await peer.close()
        await _until(lambda: parts.server.connections == 0)
        return parts.most_unread, cut_off, unread.used

    most, cut_off, left = _run(steps, max_held_seconds=0.3)
    # One part for each connection is in memory in any case.
    assert most <= _MAX_UNREAD + _SLOW * 201_000
    assert cut_off == _SLOW
    assert left == 0


def test_others_are_answered_beside_slow_readers():
    """Guards against callers that pay for the slow ones."""

    async def steps(parts):
        slow = [await parts.connect("/long") for _ in range(_SLOW)]
        answers = []
        for _ in range(20):
            peer = await parts.connect("/short")
            answers.append(await peer.recv(65536))
            await peer.close()
        for peer in slow:
            await peer.close()
        return answers

    answers = _run(steps, max_held_seconds=5.0)
    assert all(answer.endswith(b"short") for answer in answers)


def test_reader_that_is_slow_for_a_moment_gets_everything():
    """Guards against callers that are cut off although they read on."""

    async def steps(parts):
        peer = await parts.connect("/long")
        await curio.sleep(0.2)
        answer = await _read_to_end(peer)
        await _until(lambda: parts.ended == 1)
        return answer, parts.server.unread.cut_off

    answer, cut_off = _run(steps)
    assert answer.count(_PART[:1]) >= _PARTS * len(_PART)
    assert cut_off == 0


def test_next_answer_follows_one_that_is_still_kept():
    """Guards against answers that overtake each other on a connection."""

    async def steps(parts):
        peer = await parts.connect("/long")
        await _until(lambda: parts.ended == 1)
        await peer.sendall(b"GET /short HTTP/1.1\r\nHost: x\r\n\r\n")
        first = b""
        async with curio.timeout_after(30.0):
            while not first.endswith(b"short"):
                first += await peer.recv(65536)
        return first

    answers = _run(steps, max_unread_bytes=32 * _PARTS * 201_000)
    assert answers.index(b"0\r\n\r\n") < answers.index(b"\r\n\r\nshort")


def test_kept_answer_is_sent_before_a_planned_stop_closes():
    """Guards against ready answers that a shutdown cuts."""

    async def steps(parts):
        peer = await parts.connect("/long")
        await _until(lambda: parts.ended == 1)
        parts.server.finish()
        answer = await _read_to_end(peer)
        await _until(lambda: parts.server.is_finished)
        return answer

    answer = _run(steps, max_unread_bytes=32 * _PARTS * 201_000)
    assert answer.endswith(b"0\r\n\r\n")


def test_caller_that_leaves_frees_what_is_kept():
    """Guards against bounds that fill up with answers to nobody."""

    async def steps(parts):
        peer = await parts.connect("/long")
        await _until(lambda: parts.ended == 1)
        sockets.set_reset_on_close(peer, True)
        await peer.close()
        await _until(lambda: parts.server.connections == 0)
        return parts.server.unread.used

    assert _run(steps, max_unread_bytes=32 * _PARTS * 201_000) == 0


def test_answer_that_only_a_close_ends_is_not_kept():
    """Guards against answers that break off and look complete."""

    async def steps(parts):
        peer = await curio.open_connection("127.0.0.1", parts.server.port)
        await peer.sendall(b"GET /long HTTP/1.0\r\nHost: x\r\n\r\n")
        await curio.sleep(0.3)
        ended = parts.ended
        await peer.close()
        await _until(lambda: parts.ended == 1)
        return ended

    assert _run(steps, max_unread_bytes=32 * _PARTS * 201_000) == 0


@pytest.mark.parametrize("size", [1, 500_000])
def test_budget_counts_what_is_sent(size):
    """Guards against a bound that shrinks or grows with each answer."""

    async def run():
        budget = send_buffers.SendBudget(1_000_000)
        listener = curio.tcp_server_socket("127.0.0.1", 0)
        peer = await curio.open_connection(*listener.getsockname())
        client, _ = await listener.accept()
        buffer = send_buffers.SendBuffer(client, budget)
        await buffer.send(b"y" * size, 5.0, 5.0)
        received = 0
        while received < size:
            received += len(await peer.recv(65536))
        await buffer.drain()
        await buffer.close()
        with contextlib.suppress(OSError):
            await client.close()
        await peer.close()
        await listener.close()
        return budget.used, buffer.is_empty

    assert curio.run(run) == (0, True)


def test_empty_buffer_takes_large_parts_only_while_there_is_room():
    """Guards against memory that grows with callers that read nothing."""

    async def run():
        listener = curio.tcp_server_socket("127.0.0.1", 0)
        budget = send_buffers.SendBudget(100_000)
        budget.used = 100_000
        async with await curio.open_connection(*listener.getsockname()) as peer:
            buffer = send_buffers.SendBuffer(peer, budget)
            # More than the kernel takes.
            with pytest.raises(send_buffers.SlowReaderError):
                await buffer.send(b"x" * 20_000_000, 5.0, 0.1)
            assert budget.waiting == 0
            assert budget.is_exhausted
        await listener.close()

    curio.run(run)
