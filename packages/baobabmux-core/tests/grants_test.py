"""Tests of the queue and grant decisions of a group's owner."""

import itertools

import pytest

from baobabmux_core import (
    breakers,
    declarations,
    errors,
    fairness,
    grants,
    messages,
    quarantine,
    states,
)

_GROUP = "drafting@col-a"
_LIMIT = 4
_HOLDER = "n1"


class Group:
    """A group's owner with one holder; records grants and refusals."""

    def __init__(self, endpoints=1, service=None, **preset):
        preset = {"short_share": 0, "high_tier_share": 0, **preset}
        self.now = 100.0
        self.suspects = quarantine.Quarantine()
        self.owner = grants.GroupOwner(_GROUP, self.suspects, self.now)
        self.configuration = declarations.Configuration(
            tiers={f"t{rank}": declarations.Tier(rank) for rank in range(3)},
            workspaces={"big": declarations.WorkspaceShare(3.0)},
            services={
                "drafting": declarations.Service("engine", **(service or {}))
            },
            endpoints={
                f"e{index}": declarations.Endpoint(
                    "drafting", "col-a", f"vm{index}", "127.0.0.1:1",
                    max_requests=_LIMIT, max_tokens=40_000,
                    cache_tokens=10_000, prefill_tokens_per_second=1000.0,
                    decode_tokens_per_second=100.0,
                )
                for index in range(endpoints)
            },
            routes={},
            presets={"p": declarations.Preset(**preset)},
            active="p",
        )  # fmt: skip
        self.owner.configure(self.configuration, self.now)
        self.granted = {}
        self.refused = {}
        self.ids = itertools.count()

    def take(self, emitted):
        for effect in emitted:
            message = effect.message
            if isinstance(message, messages.Grant):
                self.granted[message.request] = message.endpoint
            else:
                self.refused[message.request] = message

    def ask(self, request=None, **fields):
        request = request or f"r{next(self.ids)}"
        values = {
            "group": _GROUP, "request": request, "tier": 0, "workspace": 1,
            "deadline_ms": -1, "prompt_tokens": 1000, "output_tokens": 100,
            "prefixes": (), "content": 1000 + next(self.ids), **fields,
        }  # fmt: skip
        self.take(self.owner.ask(messages.Ask(**values), _HOLDER, self.now))
        return request

    def fill(self, tier=0, endpoints=1):
        return [self.ask(tier=tier) for _ in range(_LIMIT * endpoints)]

    def end(self, request, outcome=states.Outcome.COMPLETED, **fields):
        values = {
            "computed_tokens": -1, "output_tokens": 100, "prefill_ms": 1000,
            "decode_ms": 1000, **fields,
        }  # fmt: skip
        release = messages.Release(
            _GROUP, request, self.granted[request], outcome.code, **values
        )
        self.take(self.owner.release(release, _HOLDER, self.now))

    def advance(self, seconds):
        self.now += seconds
        self.take(self.owner.tick(self.now))


def test_higher_tier_is_granted_first():
    """Guards against a lower tier that is granted before a higher one.

    Both wait for the same slot, and the lower one was queued first.
    """
    group = Group()
    running = group.fill(tier=2)
    low = group.ask(tier=2)
    high = group.ask(tier=0)
    group.end(running[0])
    assert high in group.granted
    assert low not in group.granted


def test_full_queue_sheds_the_lowest_tiers_newest():
    """Guards against shedding a higher tier before a lower one.

    The queue is at its bound, and each further request exceeds it.
    """
    group = Group(service={"max_queue_requests": 3})
    group.fill()
    old, new, high = (group.ask(tier=tier) for tier in (2, 2, 0))
    highest = group.ask(tier=0)
    assert list(group.refused) == [new]
    newcomer = group.ask(tier=2)
    assert list(group.refused) == [new, newcomer]
    group.ask(tier=1)
    assert list(group.refused) == [new, newcomer, old]
    refusal = group.refused[new]
    assert refusal.kind == errors.ErrorKind.OVERLOADED.value
    assert refusal.retry_after_ms > 0
    assert not {high, highest} & set(group.refused)


def test_queued_tokens_are_bounded():
    """Guards against a queue without a bound on its tokens.

    A few huge requests would make the wait very long, although their number is
    within the bound.
    """
    group = Group(service={"max_queue_tokens": 3000})
    group.fill()
    first = group.ask(prompt_tokens=2000)
    second = group.ask(prompt_tokens=2000)
    assert list(group.refused) == [second]
    assert first not in group.refused


def test_workspaces_share_a_tier_by_weight():
    """Guards against one workspace that starves the others.

    Two workspaces with weights 1 and 3 have long queues in one tier.
    """
    group = Group()
    running = group.fill()
    big = fairness.workspace_hash("big")
    light = [group.ask(workspace=1) for _ in range(20)]
    heavy = [group.ask(workspace=big) for _ in range(20)]
    for request in running:
        group.end(request)
    for _ in range(12):
        done = next(r for r in group.granted if r not in running)
        group.end(done)
        running.append(done)
    shares = [sum(r in group.granted for r in rs) for rs in (light, heavy)]
    assert shares == [4, 12]


def test_earliest_deadline_is_granted_first_in_a_workspace():
    """Guards against a missed deadline because of first-come order.

    A request with a later deadline was queued first.
    """
    group = Group()
    running = group.fill()
    later = group.ask(deadline_ms=60_000)
    earlier = group.ask(deadline_ms=20_000)
    group.end(running[0])
    assert earlier in group.granted
    assert later not in group.granted


def test_unreachable_deadline_is_refused_at_once():
    """Guards against a refusal that is sent only when the deadline passes.

    The backlog already makes the deadline unreachable when the request is
    received.
    """
    group = Group()
    group.fill()
    for _ in range(8):
        group.ask(tier=0)
    late = group.ask(tier=1, deadline_ms=4000)  # Needs 2 s after about 4 s.
    assert group.refused[late].kind == "deadline_unreachable"
    # The wait is about 4 s; its prediction has a margin for errors.
    assert 500 <= group.refused[late].retry_after_ms <= 8000
    reachable = group.ask(tier=0, deadline_ms=60_000)
    assert reachable not in group.refused


def test_queued_request_is_refused_once_its_deadline_is_unreachable():
    """Guards against holding a request that can no longer end in time.

    Requests of higher tiers are queued after it and are granted before it.
    """
    group = Group()
    group.fill()
    low = group.ask(tier=2, deadline_ms=8000)
    assert low not in group.refused
    for _ in range(20):
        group.ask(tier=0)
    group.advance(0.6)
    assert group.refused[low].kind == "deadline_unreachable"


def test_group_without_releases_refuses_before_the_deadline():
    """Guards against requests that are queued past their deadline.

    The granted requests never end, so no message triggers a decision.
    """
    group = Group()
    group.fill()
    waiting = group.ask(deadline_ms=10_000)
    for _ in range(8):
        group.advance(1.0)
    group.advance(0.5)
    assert waiting in group.refused


def test_short_request_does_not_wait_behind_long_ones():
    """Guards against a short request that waits for long ones to end.

    Long requests would fill all slots if none were reserved for short ones.
    """
    group = Group(short_share=0.25)
    group.ask(prompt_tokens=10, output_tokens=1)
    for _ in range(8):
        group.ask()
    assert group.owner.outstanding()["e0"][0] == _LIMIT - 1
    short = group.ask(prompt_tokens=10, output_tokens=1)
    assert short in group.granted


def test_slots_are_kept_for_higher_tiers():
    """Guards against a top-tier request that waits for a running batch.

    A lower tier would fill all slots if none were reserved.
    """
    group = Group(high_tier_share=0.25)
    group.end(group.ask(tier=0))
    for _ in range(8):
        group.ask(tier=2)
    assert group.owner.outstanding()["e0"][0] == _LIMIT - 1
    assert group.ask(tier=0) in group.granted


def test_slow_endpoint_gets_fewer_requests():
    """Guards against granting all slots of an endpoint that slowed down."""
    group = Group(endpoints=2)
    for _ in range(12):
        for request in group.fill(endpoints=2):
            slow = group.granted[request] == "e0"
            group.end(request, decode_ms=5000 if slow else 1000)
    group.advance(1.0)
    assert group.owner.model("e0").limit() <= _LIMIT // 2
    assert group.owner.model("e1").limit() == _LIMIT
    requests = group.fill()
    assert all(group.granted[request] == "e1" for request in requests)


def test_request_waits_for_a_cached_prefix_within_the_limit():
    """Guards against recomputing a prefix that another endpoint has cached.

    That endpoint is full; a request waits for it, but no longer than the
    preset allows.
    """
    group = Group(endpoints=2, affinity_wait_seconds=0.2)
    cached_prefix = {"prefixes": (messages.PrefixPart(7, 900),)}
    first = group.ask(**cached_prefix)
    cached_on = group.granted[first]
    while group.owner.outstanding()[cached_on][0] < _LIMIT:
        group.ask(**cached_prefix)
    waiting = group.ask(**cached_prefix)
    assert waiting not in group.granted
    group.end(first)
    assert group.granted[waiting] == cached_on
    timed_out = group.ask(**cached_prefix)
    group.advance(0.3)
    assert group.granted[timed_out] != cached_on


@pytest.mark.parametrize("outcome", ["not_sent", "rejected"])
def test_failing_endpoint_gets_one_probe(outcome):
    """Guards against a stream of requests to an endpoint that is down.

    Its breaker opens and then admits one request as a probe.
    """
    group = Group()
    running = group.fill()
    for request in running:
        group.end(request, states.Outcome(outcome))
    assert group.owner.breaker("e0").state is breakers.BreakerState.OPEN
    first, second = group.ask(), group.ask()
    assert first not in group.granted
    group.advance(1.1)
    assert first in group.granted
    assert second not in group.granted
    group.end(first)
    assert second in group.granted


def test_content_that_crashes_endpoints_crashes_two_at_most():
    """Guards against a request that crashes one endpoint after another.

    Its caller retries it each time the endpoint breaks.
    """
    group = Group(endpoints=3)
    harmless = group.ask(content=1)
    crashed = set()
    for _ in range(6):  # The caller retries.
        request = group.ask(content=666)
        for _ in range(20):
            if request in group.granted or request in group.refused:
                break
            group.advance(0.5)
        if request in group.refused:
            continue
        endpoint = group.granted[request]
        crashed.add(endpoint)
        if harmless and group.granted[harmless] == endpoint:
            group.end(harmless, states.Outcome.BROKEN)
            harmless = None
        group.end(request, states.Outcome.BROKEN)
    assert len(crashed) <= 2
    assert group.refused[request].kind == "quarantined"
    assert any(notice.alone for notice in group.owner.notices)


def test_harmless_suspect_runs_alone_and_is_cleared():
    """Guards against a harmless content that stays suspect.

    It ran on an endpoint that crashed, and is cleared by a run in isolation.
    """
    group = Group()
    first = group.ask(content=1)
    group.end(first, states.Outcome.BROKEN)
    other = group.ask(content=2)
    again = group.ask(content=1)
    behind = group.ask(content=3)
    assert again not in group.granted
    assert behind not in group.granted  # The endpoint is kept for the suspect.
    group.end(other)
    assert again in group.granted
    assert behind not in group.granted
    group.end(again)
    assert behind in group.granted
    content_status = group.suspects.status(1, group.now)
    assert content_status is quarantine.ContentStatus.CLEAR
    assert messages.Cleared(1) in group.owner.notices


def test_closed_endpoint_gets_nothing():
    """Guards against new requests for an endpoint that leaves the group."""
    group = Group(endpoints=2)
    group.owner.set_open("e0", False)
    requests = group.fill()
    assert {group.granted[request] for request in requests} == {"e1"}
    group.owner.set_open("e1", False)
    assert group.refused[group.ask()].kind == "no_endpoint"


def test_register_frees_the_slot_of_a_lost_release():
    """Guards against a slot that is never freed because its Release was lost.

    The holder's Register no longer lists the request.
    """
    group = Group()
    running = group.fill()
    waiting = group.ask()
    listed = tuple(
        messages.InFlight(request, "e0", 0, 1000, 100, 1, 0)
        for request in running[1:]
    )
    register = messages.Register(_GROUP, listed)
    group.take(group.owner.register(register, _HOLDER, group.now))
    assert waiting not in group.granted  # The grant may be under way.
    group.now += 6.0
    group.take(group.owner.register(register, _HOLDER, group.now))
    assert waiting in group.granted


def test_new_owner_counts_registered_requests_before_it_grants():
    """Guards against granting occupied slots after a change of owners.

    The new owner does not know the granted requests until holders register.
    """
    group = Group()
    group.owner.await_registers({_HOLDER, "n2"}, group.now)
    waiting = group.ask()
    in_flight = tuple(
        messages.InFlight(f"old{i}", "e0", 0, 1000, 100, i, 0)
        for i in range(_LIMIT)
    )
    register = messages.Register(_GROUP, in_flight)
    group.take(group.owner.register(register, _HOLDER, group.now))
    group.take(
        group.owner.register(messages.Register(_GROUP, ()), "n2", group.now)
    )
    assert waiting not in group.granted
    assert group.owner.outstanding()["e0"][0] == _LIMIT


def test_requests_of_a_lost_holder_expire():
    """Guards against slots that a lost holder's requests occupy forever.

    It sends no Release, so the owner ends them at their predicted end.
    """
    group = Group()
    group.fill()
    queued = group.ask()
    group.owner.holder_lost(_HOLDER, group.now)
    assert group.owner.queue_length() == 0
    assert group.owner.outstanding()["e0"][0] == _LIMIT
    group.advance(30.0)
    assert group.owner.outstanding()["e0"][0] == 0
    assert queued not in group.granted


def test_duplicate_ask_of_an_ended_request_is_not_queued():
    """Guards against granting a slot to a request that has ended.

    A duplicate of its Ask arrives after its Release.
    """
    group = Group()
    group.ask("r")
    group.end("r")
    group.granted.clear()
    group.ask("r")
    assert not group.granted
    assert group.owner.queue_length() == 0


def test_refused_tiers_of_a_preset_are_not_admitted():
    """Guards against a preset whose refused tiers are granted anyway."""
    group = Group(refused_tiers=("t2",))
    assert group.refused[group.ask(tier=2)].kind == "overloaded"
    assert group.ask(tier=1) in group.granted


def test_load_of_other_clients_takes_slots():
    """Guards against overloading an endpoint that has other clients too.

    Its load reports count requests that this owner did not grant.
    """
    group = Group()
    for _ in range(2):
        group.now += 1.0
        emitted = group.owner.load_report("e0", 3, group.now - 0.5, group.now)
        group.take(emitted)
    group.fill()
    assert group.owner.outstanding()["e0"][0] == _LIMIT - 3
