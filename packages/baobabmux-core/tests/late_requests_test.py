"""Tests of a burst of streams: which are served on time, late or refused.

The burst exceeds the slots of all engines for some seconds. Whether an answer
is on time depends on its first event.
"""

import pathlib

import msgspec
import pytest

from baobabmux_core import (
    declarations,
    errors,
    grants,
    messages,
    quarantine,
    states,
)
from baobabmux_standins import modules

_cluster_module = modules.load(
    pathlib.Path(__file__).with_name("scheduler_test.py"), "late_driver"
)

_TICK_SECONDS = 0.05
_GROUP = "drafting@cell"
_TARGET_SECONDS = 0.8
_LATEST_FIRST_EVENT_SECONDS = 2.0
_RUN_SECONDS = 1.0
_SLOTS = 4


class _Burst:
    """One engine, a burst of requests and a simulated clock."""

    def __init__(self):
        self.now = 100.0
        self.owner = grants.GroupOwner(_GROUP, quarantine.Quarantine(), 100.0)
        self.owner.configure(
            declarations.Configuration(
                tiers={f"t{rank}": declarations.Tier(rank) for rank in (0, 1)},
                services={
                    "drafting": declarations.Service(
                        "engine",
                        isolates_suspects=False,
                        limits_slow_endpoints=False,
                    )
                },
                endpoints={
                    "e": declarations.Endpoint(
                        "drafting",
                        "cell",
                        "vm",
                        "127.0.0.1:1",
                        max_requests=_SLOTS,
                        max_tokens=1_000_000,
                        prefill_tokens_per_second=100_000.0,
                        decode_tokens_per_second=100.0,
                    )
                },
                routes={},
                presets={
                    "p": declarations.Preset(short_share=0, high_tier_share=0)
                },
                active="p",
            ),
            100.0,
        )
        self.asked = {}
        self.granted = {}
        self.refused = {}
        self.running = []

    def ask(self, request, tier=0):
        self.asked[request] = self.now
        ask = messages.Ask(
            _GROUP, request, tier, 1, 60_000, 100, 100, (), 1,
            terms=messages.AskTerms(
                first_ms=round(_LATEST_FIRST_EVENT_SECONDS * 1000),
                target_ms=round(_TARGET_SECONDS * 1000),
            ),
        )  # fmt: skip
        self._take(self.owner.ask(ask, "n1", self.now))

    def step(self, seconds=0.05):
        self.now += seconds
        for ends, request in list(self.running):
            if ends <= self.now:
                self.running.remove((ends, request))
                done = messages.Release(
                    _GROUP,
                    request,
                    "e",
                    states.Outcome.COMPLETED.code,
                    -1,
                    100,
                    10,
                    990,
                )
                self._take(self.owner.release(done, "n1", self.now))
        self._take(self.owner.tick(self.now))

    def _take(self, emitted):
        for message in (effect.message for effect in emitted):
            if isinstance(message, messages.Grant):
                self.granted[message.request] = self.now
                self.running.append((self.now + _RUN_SECONDS, message.request))
            elif isinstance(message, messages.Refusal):
                self.refused[message.request] = (self.now, message)

    def waits(self, requests):
        return [self.granted[r] - self.asked[r] for r in requests]


def _overload(seconds):
    """Simulates a burst of twice the rate that the engine can serve."""
    burst = _Burst()
    steps = round(seconds / 0.05)
    for step in range(steps):
        if step % 5 < 2:
            burst.ask(f"r{step}")
        burst.step()
    for _ in range(60):
        burst.step()
    return burst


def test_most_requests_served_in_a_burst_are_on_time():
    """Guards against a queue so long that all of its requests are late.

    The engine would stay fully used, but only by late requests.
    """
    burst = _overload(10.0)
    waits = burst.waits(burst.granted)
    late = sum(wait > _TARGET_SECONDS for wait in waits)
    assert len(waits) >= 0.9 * 10.0 * _SLOTS / _RUN_SECONDS
    assert late <= 0.1 * len(waits)


def test_requests_that_would_be_late_are_refused_at_once():
    """Guards against queueing a request first and refusing it later.

    The backlog shows already at its arrival that it would be late.
    """
    burst = _overload(10.0)
    delays = [at - burst.asked[r] for r, (at, _) in burst.refused.items()]
    assert delays
    assert sum(wait <= 0.1 for wait in delays) >= 0.8 * len(delays)
    kinds = {message.kind for _, message in burst.refused.values()}
    assert kinds == {errors.ErrorKind.DEADLINE_UNREACHABLE.value}


def test_request_that_became_late_is_still_served_by_a_free_slot():
    """Guards against refusing all queued requests after a stall of grants.

    A new owner withholds grants until the queued request is late.
    """
    burst = _Burst()
    burst.owner.await_registers({"n2"}, burst.now, 1.2)
    burst.ask("first")
    for _ in range(30):
        burst.step()
    assert "first" in burst.granted
    assert burst.waits(["first"])[0] > _TARGET_SECONDS


def test_late_requests_are_granted_after_those_that_can_be_on_time():
    """Guards against late requests that make all others late.

    They are older than the requests that can still be on time.
    """
    burst = _Burst()
    burst.owner.await_registers({"n2"}, burst.now, 1.0)
    for number in range(_SLOTS):
        burst.ask(f"late{number}")
    for _ in range(18):
        burst.step()
    for number in range(_SLOTS):
        burst.ask(f"new{number}")
    for _ in range(3):
        burst.step()
    assert sorted(burst.granted) == [f"new{n}" for n in range(_SLOTS)]


@pytest.mark.parametrize("late_tier", [0, 1])
def test_higher_tier_is_granted_first_even_when_it_is_late(late_tier):
    """Guards against a tier inversion.

    Of two tiers that wait for the same slots, one can only be late.
    """
    burst = _Burst()
    burst.owner.await_registers({"n2"}, burst.now, 1.0)
    for number in range(_SLOTS):
        burst.ask(f"late{number}", tier=late_tier)
    for _ in range(18):
        burst.step()
    for number in range(_SLOTS):
        burst.ask(f"new{number}", tier=1 - late_tier)
    for _ in range(3):
        burst.step()
    first = "late" if late_tier == 0 else "new"
    assert all(name.startswith(first) for name in burst.granted)


def test_long_stream_is_granted_while_slots_are_free():
    """Guards against refusing a stream while slots are free.

    Its deadline seems unreachable only because of its estimated length.
    """
    burst = _Burst()
    ask = messages.Ask(
        _GROUP, "long", 0, 1, 5_000, 100, 1000, (), 1,
        terms=messages.AskTerms(first_ms=2000, target_ms=800),
    )  # fmt: skip
    (grant,) = burst.owner.ask(ask, "n1", burst.now)
    assert isinstance(grant.message, messages.Grant)


@pytest.mark.parametrize("deadline", [0.32, 0.5, 1.0, 3.0, 8.0])
@pytest.mark.parametrize("cause", ["owner silent", "endpoints gone", "closed"])
@pytest.mark.parametrize("first_by", [None, 20.0])
def test_request_is_refused_while_its_caller_waits(deadline, cause, first_by):
    """Guards against refusals that are sent once the deadline has passed.

    The request waits for an endpoint; none becomes free for its node.
    """
    cluster = _cluster_module.Cluster(endpoints=1)
    owner = cluster.members.owner("drafting@col-a")
    names = list(cluster.nodes)
    node = next(n for n, name in enumerate(names) if name != owner)
    submitted = cluster.now
    if cause == "owner silent":
        cluster.paused.add(owner)
    for number in range(3):
        cluster.submit(f"r{number}", node, deadline=submitted + deadline,
                       first_by=first_by and submitted + first_by)  # fmt: skip
    cluster.deliver_all()
    cluster.step_all()
    if cause == "endpoints gone":
        for name, core in cluster.nodes.items():
            declared = msgspec.structs.replace(
                core.view.configuration, endpoints={}
            )
            cluster.carry_out(name, core.configure(declared, cluster.now))
    elif cause == "closed":
        cluster.members.endpoint_states["vm0"] = states.EndpointState.LEAVING
        cluster.members_changed()
    waiting = [f"r{n}" for n in range(3) if f"r{n}" not in cluster.running]
    assert waiting
    while cluster.now < submitted + deadline - _TICK_SECONDS / 2:
        cluster.advance(_TICK_SECONDS)
        cluster.step_all()
    assert set(waiting) <= set(cluster.refusals) | set(cluster.running)
