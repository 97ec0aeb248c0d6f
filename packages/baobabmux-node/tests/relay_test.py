"""Tests of the relay against an endpoint that answers with chosen bytes."""

import contextlib

import curio
import pytest

from baobabmux_core import declarations, states
from baobabmux_node import adapters, client, clock, relay

_HEAD = b"HTTP/1.1 200 OK\r\nrequest: %s\r\n"
_WHOLE = _HEAD + b"content-length: 3\r\n\r\nabc"
_STREAM = _HEAD + (
    b"content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
)


def _chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def _event(number):
    return b"id: %d\ndata: x\n\n" % number


class _Dialect(relay.Dialect):
    def request_fields(self, call, last_event):
        fields = [("Host", "x"), ("request", call.endpoint)]
        if last_event is not None:
            fields.append(("last-event-id", str(last_event)))
        return fields

    def classify(self, call, head):
        if head.headers.get("request") != call.endpoint:
            return relay.Verdict.STRAY
        if "not-run" in head.headers:
            return relay.Verdict.NOT_RUN
        if head.status == 421:
            return relay.Verdict.MISDIRECTED
        if head.status >= 500:
            return relay.Verdict.FAILED
        return relay.Verdict.ANSWER

    def answer_headers(self, head):
        return {}

    def answer_timeouts(self, call):
        return relay.AnswerTimeouts(0.3, 0.2)

    def tokens_per_event(self, call):
        return 6


class _Sink(adapters.Sink):
    def __init__(self, last_event=None):
        self.tokens = 0
        self.last_event = last_event
        self.status = None
        self.body = b""

    async def head(self, status, headers):
        self.status = status

    async def data(self, data):
        self.body += data

    def progress(self, tokens):
        self.tokens = tokens


class _Endpoint:
    """Answers each request with the next of the given parts.

    A part is bytes, a number of seconds to wait, or None to close.
    """

    def __init__(self, *answers):
        self.answers = list(answers)
        self.requests = []
        self.connections = 0

    async def serve(self, peer, address):
        self.connections += 1
        with contextlib.suppress(ConnectionError):
            while data := await peer.recv(65536):
                self.requests.append(data)
                for part in self.answers.pop(0):
                    if part is None:
                        return
                    if isinstance(part, float):
                        await curio.sleep(part)
                    else:
                        await peer.sendall(part)


async def _accept(listener, endpoint):
    async with listener:
        while True:
            peer, address = await listener.accept()
            await curio.spawn(_serve, endpoint, peer, address, daemon=True)


async def _serve(endpoint, peer, address):
    async with peer:
        await endpoint.serve(peer, address)


def _run(endpoint, *calls, sink=None, repeatable=True):
    """Runs calls one after the other; returns results and the last sink."""

    async def run():
        listener = curio.tcp_server_socket("127.0.0.1", 0)
        port = listener.getsockname()[1]
        await curio.spawn(_accept, listener, endpoint, daemon=True)
        adapter = relay.RelayAdapter(_Dialect())
        results, last = [], sink
        for name in calls:
            last = sink or _Sink()
            call = adapters.Call(
                address=f"127.0.0.1:{port}",
                method="POST",
                target="/a",
                headers={},
                body=b"",
                timeout=5.0,
                permit=lambda: True,
                endpoint=name,
                repeatable=repeatable,
                deadline=clock.now() + 5.0,
            )
            results.append(await adapter.run(call, last))
        return results, last

    return curio.run(run)


def test_whole_answer_is_passed_on_and_the_connection_used_again():
    """Guards against a new connection for each request."""
    endpoint = _Endpoint([_WHOLE % b"r"], [_WHOLE % b"r"])
    results, sink = _run(endpoint, "r", "r")
    assert [r.outcome for r in results] == [states.Outcome.COMPLETED] * 2
    assert sink.body == b"abc"
    assert endpoint.connections == 1


def test_answer_to_another_request_is_skipped():
    """Guards against an answer that reaches the wrong caller."""
    endpoint = _Endpoint([_WHOLE % b"other" + _WHOLE % b"r"])
    results, sink = _run(endpoint, "r")
    assert results[0].outcome is states.Outcome.COMPLETED
    assert sink.body == b"abc"


def test_connection_with_bytes_after_an_answer_is_not_used_again():
    """Guards against a second answer that meets the next request."""
    endpoint = _Endpoint([_WHOLE % b"r" + _WHOLE % b"r"], [_WHOLE % b"r"])
    results, _ = _run(endpoint, "r", "r")
    assert [r.outcome for r in results] == [states.Outcome.COMPLETED] * 2
    assert endpoint.connections == 2


def test_request_that_must_run_once_gets_a_new_connection():
    """Guards against an unknown outcome on a connection that was dropped."""
    endpoint = _Endpoint([_WHOLE % b"r"], [_WHOLE % b"r"])
    _run(endpoint, "r", "r", repeatable=False)
    assert endpoint.connections == 2


@pytest.mark.parametrize(
    ("answer", "outcome"),
    [
        ([None], states.Outcome.BROKEN),
        ([(_WHOLE % b"r")[:-1], None], states.Outcome.BROKEN),
        ([1.0], states.Outcome.BROKEN),
        ([b"garbage\r\n\r\n"], states.Outcome.GARBAGE),
        (
            [b"HTTP/1.1 503 x\r\nrequest: r\r\nnot-run: 1\r\n"
             b"content-length: 0\r\n\r\n"],
            states.Outcome.REJECTED,
        ),
        (
            [b"HTTP/1.1 421 x\r\nrequest: r\r\ncontent-length: 0\r\n\r\n"],
            states.Outcome.NOT_SENT,
        ),
        (
            [b"HTTP/1.1 500 x\r\nrequest: r\r\ncontent-length: 0\r\n\r\n"],
            states.Outcome.FAILED,
        ),
    ],
)  # fmt: skip
def test_failures_are_told_apart(answer, outcome):
    """Guards against "not run" for a request that may have run."""
    results, sink = _run(_Endpoint(answer), "r")
    assert results[0].outcome is outcome
    assert sink.status is None


def test_events_are_passed_on_whole():
    """Guards against half an event before a stream goes on elsewhere."""
    first = _event(1) + _event(2)
    endpoint = _Endpoint([_STREAM % b"r", _chunk(first + b"id: 3\nda"), None])
    results, sink = _run(endpoint, "r")
    assert results[0].outcome is states.Outcome.BROKEN
    assert sink.body == first
    assert sink.last_event == 2
    assert results[0].output_tokens == 12


def test_resumed_stream_repeats_no_event():
    """Guards against an event that a caller gets twice."""
    parts = [_chunk(_event(2) + _event(3)), _chunk(_event(4)), b"0\r\n\r\n"]
    endpoint = _Endpoint([_STREAM % b"r", *parts])
    results, sink = _run(endpoint, "r", sink=_Sink(last_event=2))
    assert results[0].outcome is states.Outcome.COMPLETED
    assert sink.body == _event(3) + _event(4)
    assert b"last-event-id: 2" in endpoint.requests[0].lower()


def test_events_out_of_order_end_the_attempt():
    """Guards against pieces of two runs in one stream."""
    parts = [_chunk(_event(5)), _chunk(_event(7) + _event(6))]
    endpoint = _Endpoint([_STREAM % b"r", *parts])
    results, sink = _run(endpoint, "r")
    assert results[0].outcome is states.Outcome.GARBAGE
    assert sink.body == _event(5)


def test_silent_stream_is_given_up_for_another_endpoint():
    """Guards against a caller that waits for a frozen endpoint."""
    endpoint = _Endpoint([_STREAM % b"r", _chunk(_event(1)), 2.0])
    results, sink = _run(endpoint, "r")
    assert results[0].outcome is states.Outcome.BROKEN
    assert results[0].detail == "no bytes in time"
    assert sink.last_event == 1


def test_address_without_listener_was_not_sent_anything():
    """Guards against an unknown outcome where nothing was sent."""

    async def run():
        adapter = relay.RelayAdapter(_Dialect())
        call = adapters.Call(
            "127.0.0.1:1", "GET", "/", {}, b"", 5.0, lambda: True,
            deadline=clock.now() + 5.0,
        )  # fmt: skip
        return await adapter.run(call, _Sink())

    assert curio.run(run).outcome is states.Outcome.NOT_SENT


def test_event_costs_no_timer_and_one_read(monkeypatch):
    """Guards against a cost of events that a burst of streams cannot pay.

    Timers cost more than the rest of an event, so a stream of many events
    may set only as many as one of few.
    """

    def counts(events):
        calls = {"timers": 0, "reads": 0}
        timer, receive = curio.timeout_after, client.ClientConnection._receive

        def counted_timer(*arguments):
            calls["timers"] += 1
            return timer(*arguments)

        async def counted_receive(connection):
            calls["reads"] += 1
            return await receive(connection)

        with monkeypatch.context() as patched:
            patched.setattr(curio, "timeout_after", counted_timer)
            patched.setattr(
                client.ClientConnection, "_receive", counted_receive
            )
            parts = []
            for number in range(1, events + 1):
                parts += [_chunk(_event(number)), 0.001]
            endpoint = _Endpoint([_STREAM % b"r", *parts, b"0\r\n\r\n"])
            results, sink = _run(endpoint, "r")
        assert results[0].outcome is states.Outcome.COMPLETED
        assert sink.last_event == events
        return calls

    few, many = counts(5), counts(100)
    assert many["timers"] == few["timers"]
    assert many["reads"] <= 100 + 2


class _Idle:
    """An idle connection that notes its end."""

    def __init__(self):
        self.open = True

    def recycle(self):
        return True

    def is_quiet(self):
        return self.open

    async def close(self):
        self.open = False


def _pooled(limits, counts, seconds=5, now=1.0):
    """Fills a pool at time 0, trims it and returns what is still open."""

    async def run():
        pool = relay.ConnectionPool()
        made = {name: [_Idle() for _ in range(n)] for name, n in counts.items()}
        head = client.Head(200, {"keep-alive": f"timeout={seconds}"})
        for name, connections in made.items():
            for connection in connections:
                await pool.put(name, connection, head, 0.0)
        await pool.trim(limits, now)
        return {n: [c.open for c in found] for n, found in made.items()}

    return curio.run(run)


def test_connections_to_endpoints_that_are_gone_are_closed():
    """Guards against sockets that stay open until the node ends."""
    left = _pooled({"kept": 8}, {"kept": 2, "gone": 3})
    assert left == {"kept": [True] * 2, "gone": [False] * 3}


def test_connections_past_their_timeout_are_closed():
    """Guards against sockets that the endpoint has closed."""
    assert _pooled({"e": 8}, {"e": 1}, now=4.6) == {"e": [False]}


def test_each_node_keeps_its_share_of_an_endpoints_connections():
    """Guards against 90 nodes that fill an endpoint with idle connections."""
    configuration = declarations.Configuration(
        tiers={},
        presets={"p": declarations.Preset()},
        active="p",
        routes={},
        services={
            "desk": declarations.Service("plain", max_connections=110),
            "free": declarations.Service("plain"),
        },
        endpoints={
            name: declarations.Endpoint(
                service, "a", "v", "127.0.0.1:1", max_requests=6
            )
            for name, service in (("d", "desk"), ("f", "free"))
        },
    )
    assert relay.idle_limits(configuration, 8) == {"d": 8, "f": 8}
    assert relay.idle_limits(configuration, 30) == {"d": 3, "f": 8}
    assert relay.idle_limits(configuration, 340)["d"] == 1
    assert _pooled({"d": 1}, {"d": 3}) == {"d": [False, False, True]}


def test_connection_that_is_not_made_in_time_says_so(monkeypatch):
    """Guards against a reading of the clock as the reason of a failure."""

    async def never(host, port):
        await curio.sleep(60)

    monkeypatch.setattr(curio, "open_connection", never)
    (result,), _ = _run(_Endpoint(), "r")
    assert result.outcome is states.Outcome.NOT_SENT
    assert result.detail.endswith("no connection within 0.3 s")
