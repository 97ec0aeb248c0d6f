"""Doubles around an adapter that runs calls at an endpoint of a test."""

from baobabmux_node import adapters, clock, relay


class Dialect(relay.Dialect):
    """Takes any answer for one to the request, unless it has `not-run`.

    Attributes:
        timeout_seconds: Longest silence of an answer.
    """

    def __init__(self, timeout_seconds):
        self.timeout_seconds = timeout_seconds

    def request_fields(self, call, last_event):
        return [("Host", "x")]

    def classify(self, call, head):
        if "not-run" in head.headers:
            return relay.Verdict.NOT_RUN
        return relay.Verdict.ANSWER

    def answer_headers(self, head):
        return {}

    def answer_timeouts(self, call):
        return relay.AnswerTimeouts(self.timeout_seconds, self.timeout_seconds)

    def tokens_per_event(self, call):
        return 1


class Sink(adapters.Sink):
    """Drops an answer."""

    def __init__(self):
        self.tokens = 0
        self.last_event = None

    async def head(self, status, headers):
        pass

    async def data(self, data):
        pass

    def progress(self, tokens):
        self.tokens = tokens


def call(address, seconds):
    """Returns a call that may be repeated and has some seconds."""
    return adapters.Call(
        address=address,
        method="GET",
        target="/a",
        headers={},
        body=b"",
        timeout=seconds,
        permit=lambda: True,
        endpoint="r",
        repeatable=True,
        deadline=clock.now() + seconds,
    )
