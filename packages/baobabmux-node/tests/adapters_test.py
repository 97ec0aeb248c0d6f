"""Tests of the product's own adapters against stand-ins of endpoints."""

import json

import curio
import endpoint_doubles
import pytest

from baobabmux_core import states
from baobabmux_node import adapters, engines
from baobabmux_standins import engine, plain, server


async def _limits(stand_in, adapter, target, values):
    """Returns what calls report while the endpoint names these limits."""
    reported = []

    async def report(rate):
        reported.append(rate)

    await stand_in.start()
    try:
        for value in values:
            await stand_in.set_faults({"limit": value})
            call = adapters.Call(
                stand_in.addresses()["address"],
                "POST",
                target,
                {},
                json.dumps({"prompt": "a b", "max_tokens": 1}).encode(),
                5.0,
                lambda: True,
                report_limit=report,
            )
            result = await adapter.run(call, endpoint_doubles.Sink())
            assert result.outcome is states.Outcome.COMPLETED
    finally:
        await stand_in.close()
    return reported


@pytest.mark.parametrize(
    ("stand_in", "adapter", "target"),
    [
        (plain.Plain, adapters.PlainServiceAdapter, "/any"),
        (engine.Engine, engines.ModelEngineAdapter, "/v1/completions"),
    ],
)
def test_limits_in_answers_are_reported(stand_in, adapter, target):
    """Guards against an endpoint's limit that its adapter does not read.

    A limit that is not a number says nothing about the limit.
    """
    values = ("", "2.5", "much", "")
    reported = curio.run(_limits, stand_in(), adapter(), target, values)
    assert reported == [None, 2.5, None]


async def _outcome_of_stream(body):
    """Returns how a call ends whose answer is a stream in chunks."""

    async def handle(request, reply):
        await reply.start(200, {"Content-Type": "text/event-stream"})
        await reply.write(body)
        await reply.end()

    endpoint = server.Server(handle)
    await endpoint.start()
    call = adapters.Call(
        endpoint.address, "POST", "/any", {}, b"", 5.0, lambda: True
    )
    try:
        result = await adapters.PlainServiceAdapter().run(
            call, endpoint_doubles.Sink()
        )
        return result.outcome
    finally:
        await endpoint.close()


@pytest.mark.parametrize(
    ("body", "outcome"),
    [
        (b"data: a\n\n", states.Outcome.COMPLETED),
        (b"data: a\n\ndata: b", states.Outcome.BROKEN),
    ],
)
def test_plain_stream_that_ends_inside_an_event_is_broken(body, outcome):
    """Guards against part of an event that is taken for the end of a stream.

    The service breaks the stream off and then ends its chunks properly.
    """
    assert curio.run(_outcome_of_stream, body) is outcome
