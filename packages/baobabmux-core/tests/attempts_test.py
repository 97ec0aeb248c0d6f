"""Tests of asks with terms: attempts, deadlines, quotas, owner failures."""

import collections

import msgspec
import pytest

from baobabmux_core import (
    breakers,
    declarations,
    effects,
    errors,
    fairness,
    grants,
    held_requests,
    holders,
    messages,
    quarantine,
    quotas,
    scheduler,
    states,
)

_GROUP = "drafting@cell"
_WORKSPACE = "bank-a"


def _configuration(endpoints=2, quota=None, **endpoint):
    values = {
        "max_requests": 2,
        "max_tokens": 1_000_000,
        "prefill_tokens_per_second": 10_000.0,
        "decode_tokens_per_second": 100.0,
        **endpoint,
    }
    return declarations.Configuration(
        tiers={"tender": declarations.Tier(0)},
        workspaces={_WORKSPACE: declarations.WorkspaceShare(quota=quota)},
        services={
            "drafting": declarations.Service(
                "engine", isolates_suspects=False, limits_slow_endpoints=False
            )
        },
        endpoints={
            f"e{n}": declarations.Endpoint(
                "drafting", "cell", f"vm{n}", f"127.0.0.1:{n + 1}", **values
            )
            for n in range(endpoints)
        },
        routes={},
        presets={"p": declarations.Preset(short_share=0, high_tier_share=0)},
        active="p",
    )


def _owner(**fields):
    owner = grants.GroupOwner(_GROUP, quarantine.Quarantine(), 100.0)
    # A new owner may grant about 100 units at once.
    owner.quotas.tolerance = quotas.Tolerance(units=250.0)
    owner.configure(_configuration(**fields), 100.0)
    return owner


def _ask(request, now_ms=0, prompt=100, **terms):
    del now_ms
    return messages.Ask(
        _GROUP, request, 0, fairness.workspace_hash(_WORKSPACE), 60_000,
        prompt, 100, (), 1, terms=messages.AskTerms(**terms),
    )  # fmt: skip


def _messages(emitted):
    return [effect.message for effect in emitted]


def test_second_attempt_avoids_the_endpoint_of_the_first():
    """Guards against a retry at the endpoint that has just failed."""
    owner = _owner()
    (grant,) = _messages(owner.ask(_ask("r"), "n1", 100.0))
    failed = messages.Release(
        _GROUP, "r", grant.endpoint, states.Outcome.BROKEN.code, -1, 0, 10, 0
    )
    owner.release(failed, "n1", 100.1)
    again = _ask("r", attempt=2, avoided=(grant.endpoint,))
    (second,) = _messages(owner.ask(again, "n1", 100.1))
    assert isinstance(second, messages.Grant)
    assert second.endpoint != grant.endpoint


def test_late_copy_of_an_ended_attempt_is_not_granted():
    """Guards against a second run when an `Ask` arrives after its release."""
    owner = _owner()
    (grant,) = _messages(owner.ask(_ask("r"), "n1", 100.0))
    done = messages.Release(
        _GROUP,
        "r",
        grant.endpoint,
        states.Outcome.COMPLETED.code,
        -1,
        10,
        10,
        100,
    )
    owner.release(done, "n1", 101.0)
    assert owner.ask(_ask("r"), "n1", 101.1) == []


def test_attempts_beyond_the_budget_are_refused():
    """Guards against unbounded retries while all answers are lost."""
    owner = _owner()
    owner.budget.slack = 1.0
    owner.budget.ratio = 0.0
    kinds = []
    for number in range(3):
        emitted = owner.ask(_ask(f"r{number}", attempt=2), "n1", 100.0)
        kinds.append(type(_messages(emitted)[0]).__name__)
    assert kinds == ["Grant", "Refusal", "Refusal"]


def test_quota_is_charged_once_for_each_request():
    """Guards against charging a workspace again for each attempt.

    The holder sends a cost of 0 after the first grant.
    """
    quota = declarations.Quota(rate=1.0, burst=400.0, unit="tokens")
    owner = _owner(quota=quota)
    (grant,) = _messages(owner.ask(_ask("r1", cost=90), "n1", 100.0))
    assert isinstance(grant, messages.Grant)
    (refusal,) = _messages(owner.ask(_ask("r2", cost=90), "n1", 100.0))
    assert refusal.kind == errors.ErrorKind.OVER_QUOTA.value
    assert refusal.retry_after_ms >= 1000
    (again,) = _messages(owner.ask(_ask("r3", attempt=2), "n1", 100.0))
    assert isinstance(again, messages.Grant)


def test_waiting_ask_is_acknowledged():
    """Guards against a holder that takes a busy owner for a dead one.

    Without an acknowledgement it would grant from its own share. A repeated
    `Ask` is acknowledged again, in case the first answer was lost.
    """
    owner = _owner(endpoints=1)
    for number in range(2):
        owner.ask(_ask(f"r{number}"), "n1", 100.0)
    emitted = _messages(owner.ask(_ask("late"), "n1", 100.0))
    assert emitted == [messages.Queued("late")]
    assert _messages(owner.ask(_ask("late"), "n1", 100.2)) == emitted


def test_request_whose_first_event_would_be_late_is_refused_at_once():
    """Guards against queueing large prompts that cannot start in time."""
    owner = _owner(endpoints=1)
    emitted = owner.ask(_ask("r", prompt=50_000, first_ms=1000), "n1", 100.0)
    (refusal,) = _messages(emitted)
    assert refusal.kind == errors.ErrorKind.DEADLINE_UNREACHABLE.value


def test_stream_that_is_taken_up_waits_although_it_will_be_late():
    """Guards against callers who lose an answer of which they have a part.

    After all nodes have ended, every slot is taken for some tenths of a second
    by new requests.
    """
    owner = _owner(endpoints=1)
    for number in range(2):
        owner.ask(_ask(f"r{number}"), "n1", 100.0)
    late = {"first_ms": 8000, "target_ms": 200}
    (refusal,) = _messages(owner.ask(_ask("new", **late), "n1", 100.0))
    assert refusal.kind == errors.ErrorKind.DEADLINE_UNREACHABLE.value
    resumed = _ask("resumed", **late)
    resumed = msgspec.structs.replace(resumed, tier=held_requests.RESUMED_RANK)
    assert _messages(owner.ask(resumed, "n1", 100.0)) == [
        messages.Queued("resumed")
    ]


def _work(request="r", **fields):
    values = {
        "route": "wording",
        "service": "drafting",
        "tier": 0,
        "workspace": _WORKSPACE,
        "deadline": 160.0,
        "prompt_tokens": 100,
        "output_tokens": 100,
        "max_attempts": 2,
        **fields,
    }
    return effects.Work(request=request, **values)


class _Members:
    """Membership whose first node owns all groups."""

    def __init__(self, nodes):
        self.nodes = nodes

    def live(self, centre):
        return self.nodes

    def reachable(self):
        return self.nodes

    def node_count(self):
        return len(self.nodes)

    def owner(self, group):
        return self.nodes[0]

    def endpoint_vm_state(self, vm):
        return states.EndpointState.LIVE


@pytest.fixture
def holder():
    made = holders.Holder(
        "n1", lambda group: "n2", lambda endpoint: True, lambda work: _GROUP, 1
    )
    made.tick(100.0, lambda held: None)
    return made


def _tick(holder, now):
    return holder.tick(now, lambda held: None)


def test_holder_uses_its_own_share_while_the_owner_does_not_answer(holder):
    """Guards against requests that wait for a dead or frozen owner."""
    holder.fallback = lambda held, now: "e1"
    holder.submit(_work(), _GROUP, 160.0, 100.0)
    assert _tick(holder, 100.1) == []
    (dispatch,) = _tick(holder, 100.2)
    assert dispatch == effects.Dispatch("r", "e1", own_share=True)
    assert holder.start_dispatch("r", 100.2)
    # The next request does not wait for the timeout again.
    assert holder.submit(_work("s"), _GROUP, 160.0, 100.3) == [
        effects.Dispatch("s", "e1", own_share=True)
    ]


def test_own_share_claims_a_key_before_the_dispatch(holder):
    """Guards against a keyed request that runs twice while its owner is silent.

    It was dispatched from the own share without the claim of its key, so that
    a copy at another node could win the claim and run as well.
    """
    holder.fallback = lambda held, now: "e1"
    holder.submit(_work(needs_claim=True), _GROUP, 160.0, 100.0)
    assert _tick(holder, 100.2) == [effects.Claim("r")]
    assert not holder.start_dispatch("r", 100.2)
    assert holder.claim_decided("r", True, 100.3, None, None) == [
        effects.Dispatch("r", "e1", own_share=True)
    ]
    # A claim that takes longer than the lease needs another grant, no claim.
    holder.submit(_work("s", needs_claim=True), _GROUP, 160.0, 100.3)
    assert holder.claim_decided("s", True, 102.0, None, None) == []
    assert _tick(holder, 102.1) != [effects.Claim("s")]
    # A copy of the request has won.
    holder.submit(_work("t", needs_claim=True), _GROUP, 160.0, 102.1)
    kind = errors.ErrorKind.STILL_RUNNING
    lost = holder.claim_decided("t", False, 102.2, kind, None)
    assert effects.Refuse("t", kind, None) in lost


def test_acknowledged_ask_does_not_use_the_own_share(holder):
    """Guards against holders that bypass the queue of a busy owner."""
    holder.fallback = lambda held, now: "e1"
    holder.submit(_work(), _GROUP, 160.0, 100.0)
    holder.queued("r", "n2")
    assert _tick(holder, 100.4) == []
    assert holder.held["r"].state is states.RequestState.QUEUED


def test_grant_that_arrives_after_the_own_share_was_used_is_returned(
    holder,
):
    """Guards against a slot that stays reserved by a late grant.

    The owner resumed and granted a request that is already running.
    """
    holder.fallback = lambda held, now: "e1"
    holder.submit(_work(), _GROUP, 160.0, 100.0)
    _tick(holder, 100.2)
    holder.start_dispatch("r", 100.2)
    (returned,) = holder.granted(messages.Grant("r", "e2", 3000), "n2", 100.3)
    assert isinstance(returned.message, messages.Withdraw)


@pytest.mark.parametrize("arrives", ["running", "ended", "never"])
def test_unused_grant_is_made_up_for_by_a_register(holder, arrives):
    """Guards against a slot that no request uses and nobody frees.

    The request runs from the own share, and its grant or the return of the
    grant is lost.
    """
    holder.fallback = lambda held, now: "e1"
    holder.submit(_work(), _GROUP, 160.0, 100.0)
    _tick(holder, 100.2)
    holder.start_dispatch("r", 100.2)
    if arrives == "running":
        holder.granted(messages.Grant("r", "e2", 3000), "n2", 100.3)
    holder.finished("r", states.Outcome.COMPLETED, 100.4, -1, 10)
    if arrives == "ended":
        holder.granted(messages.Grant("r", "e2", 3000), "n2", 100.5)
    emitted = [e for s in range(101, 120) for e in _tick(holder, float(s))]
    registers = [e.message for e in emitted]
    assert registers == [messages.Register(_GROUP, ())]


@pytest.mark.parametrize(
    ("outcome", "idempotent", "repeats"),
    [
        (states.Outcome.REJECTED, False, True),
        (states.Outcome.BROKEN, True, True),
        (states.Outcome.BROKEN, False, False),
        (states.Outcome.GARBAGE, True, True),
        (states.Outcome.CANCELLED, True, False),
        (states.Outcome.COMPLETED, True, False),
    ],
)
def test_only_requests_that_may_run_again_are_repeated(
    holder, outcome, idempotent, repeats
):
    """Guards against a second run of a request that must run once."""
    holder.submit(_work(idempotent=idempotent), _GROUP, 160.0, 100.0)
    holder.granted(messages.Grant("r", "e1", 3000), "n2", 100.0)
    holder.start_dispatch("r", 100.0)
    assert holder.may_repeat("r", outcome) == repeats
    emitted = holder.finished("r", outcome, 100.5, -1, 0)
    asks = [e.message for e in emitted if isinstance(e.message, messages.Ask)]
    assert len(asks) == repeats
    if repeats:
        assert asks[0].terms.attempt == 2
        assert asks[0].terms.avoided == ("e1",)
        assert asks[0].terms.cost == 0


def _run_at_silent_endpoint(holder, **fields):
    holder.submit(_work(resumable=True, **fields), _GROUP, 160.0, 100.0)
    holder.granted(messages.Grant("r", "e1", 3000), "n2", 100.0)
    holder.start_dispatch("r", 100.0)
    holder.first_token("r", 100.2)


def test_backup_is_asked_for_while_the_request_runs_on(holder):
    """Guards against an answer that is given up before another one exists.

    The backup must count as a repeated attempt, avoid the silent endpoint and
    charge no quota.
    """
    _run_at_silent_endpoint(holder, cost=5, gap_seconds=0.4)
    (asked,) = holder.ask_backup("r", "r+1", 101.8)
    terms = asked.message.terms
    assert (terms.attempt, terms.avoided, terms.cost) == (2, ("e1",), 0)
    assert asked.message.tier == held_requests.RESUMED_RANK
    assert holder.held["r"].state is states.RequestState.STREAMING
    # The caller abandons the stream 2.8 s after its latest event.
    assert terms.first_ms == 1200
    assert effects.Refuse(
        "r+1", errors.ErrorKind.DEADLINE_PASSED, 2.0
    ) in _tick(holder, 103.0)
    assert list(holder.held) == ["r"]


@pytest.mark.parametrize("fields", [{"idempotent": False}, {"max_attempts": 1}])
def test_request_that_may_not_run_again_gets_no_backup(holder, fields):
    """Guards against a second run of a request that must run once."""
    _run_at_silent_endpoint(holder, **fields)
    assert holder.ask_backup("r", "r+1", 101.8) == []
    assert list(holder.held) == ["r"]


def test_superseded_request_is_released_and_not_repeated(holder):
    """Guards against a third attempt after a backup has taken over."""
    _run_at_silent_endpoint(holder)
    holder.ask_backup("r", "r+1", 101.8)
    holder.granted(messages.Grant("r+1", "e2", 3000), "n2", 101.8)
    assert holder.start_dispatch("r+1", 101.8)
    outcome = states.Outcome.BROKEN
    (release,) = holder.finished("r", outcome, 101.9, -1, 0, superseded=True)
    assert release.message.endpoint == "e1"
    assert list(holder.held) == ["r+1"]
    assert not holder.may_repeat("r+1", outcome)


def test_ended_backup_counts_as_an_attempt(holder):
    """Guards against more endpoints than the route allows.

    An answer that is silent again and again must not get a new backup each
    time, nor be repeated after its last one.
    """
    _run_at_silent_endpoint(holder)
    holder.ask_backup("r", "r+1", 101.8)
    holder.granted(messages.Grant("r+1", "e2", 3000), "n2", 101.8)
    assert holder.start_dispatch("r+1", 101.8)
    holder.finished("r+1", states.Outcome.CANCELLED, 102.0, -1, 0)
    assert holder.ask_backup("r", "r+2", 104.0) == []
    assert not holder.may_repeat("r", states.Outcome.BROKEN)


def test_backup_that_was_not_dispatched_is_no_attempt(holder):
    """Guards against an attempt that is used up by a refused backup."""
    _run_at_silent_endpoint(holder)
    holder.ask_backup("r", "r+1", 101.8)
    holder.cancel("r+1", 102.0)
    (asked,) = holder.ask_backup("r", "r+2", 104.0)
    assert asked.message.terms.attempt == 2


@pytest.mark.parametrize(
    "fields", [{"first_by": 110.0, "gap_seconds": 0.4}, {"first_by": None}]
)
def test_backup_before_the_first_event_has_no_precedence(holder, fields):
    """Guards against a backup that is refused as late, or outranks a tier.

    The caller has no event yet, so it waits for the first one, not for the
    next one.
    """
    holder.submit(_work(tier=2, **fields), _GROUP, 160.0, 100.0)
    holder.granted(messages.Grant("r", "e1", 3000), "n2", 100.0)
    holder.start_dispatch("r", 100.0)
    (asked,) = holder.ask_backup("r", "r+1", 104.0)
    first_by = fields["first_by"]
    expected = -1 if first_by is None else round((first_by - 104.0) * 1000)
    assert (asked.message.tier, asked.message.terms.first_ms) == (2, expected)
    emitted = _tick(holder, 104.1)
    assert not any(isinstance(item, effects.Refuse) for item in emitted)


def test_attempts_are_limited_by_the_route(holder):
    """Guards against more attempts than the route allows."""
    holder.submit(_work(max_attempts=1), _GROUP, 160.0, 100.0)
    holder.granted(messages.Grant("r", "e1", 3000), "n2", 100.0)
    holder.start_dispatch("r", 100.0)
    assert not holder.may_repeat("r", states.Outcome.REJECTED)


def test_request_is_refused_when_its_first_event_would_be_late(holder):
    """Guards against delaying the refusal until the deadline.

    After `first_by` the first event is useless to the caller.
    """
    holder.submit(_work(first_by=101.0), _GROUP, 160.0, 100.0)
    holder.queued("r", "n2")
    assert _tick(holder, 100.9) == []
    emitted = _tick(holder, 101.0)
    assert any(isinstance(effect, effects.Refuse) for effect in emitted)


def test_refused_request_gives_its_quota_back():
    """Guards against refused or withdrawn requests that use up a quota."""
    quota = declarations.Quota(rate=0.001, burst=1000.0, unit="tokens")
    owner = _owner(endpoints=1, quota=quota)
    before = owner.quotas.level(fairness.workspace_hash(_WORKSPACE))
    late = _ask("r1", prompt=50_000, first_ms=1000, cost=100)
    (refusal,) = _messages(owner.ask(late, "n1", 100.0))
    assert refusal.kind == errors.ErrorKind.DEADLINE_UNREACHABLE.value
    for number in range(2):
        owner.ask(_ask(f"s{number}"), "n1", 100.0)
    owner.ask(_ask("waits", cost=100), "n1", 100.0)
    owner.withdraw("waits", "n1", 100.0)
    level = owner.quotas.level(fairness.workspace_hash(_WORKSPACE))
    assert level == before


def test_broken_stream_is_resumed_before_other_requests(holder):
    """Guards against losing an answer of which the caller has a part.

    When an engine crashes during a burst, the targets of its streams have
    passed, and other requests already wait for slots.
    """
    work = _work(
        first_by=101.0, target_by=100.8, gap_seconds=0.4, resumable=True
    )
    holder.submit(work, _GROUP, 160.0, 100.0)
    holder.granted(messages.Grant("r", "e1", 3000), "n2", 100.0)
    holder.start_dispatch("r", 100.0)
    holder.first_token("r", 100.5)
    emitted = holder.finished("r", states.Outcome.BROKEN, 103.0, -1, 50)
    (ask,) = [e.message for e in emitted if isinstance(e.message, messages.Ask)]
    assert ask.tier == held_requests.RESUMED_RANK
    assert ask.terms.target_ms == 400
    assert ask.terms.first_ms == 2800
    owner = _owner(endpoints=1)
    for number in range(2):
        owner.ask(_ask(f"s{number}"), "n1", 103.0)
    owner.ask(_ask("waits"), "n1", 103.0)
    owner.ask(ask, "n1", 103.0)
    done = messages.Release(
        _GROUP, "s0", "e0", states.Outcome.COMPLETED.code, -1, 9, 9, 9
    )
    granted = [
        message.request
        for message in _messages(owner.release(done, "n1", 103.1))
        if isinstance(message, messages.Grant)
    ]
    assert granted == ["r"]


def test_stream_whose_position_is_lost_does_not_go_on_elsewhere(holder):
    """Guards against a stream that begins anew within an answer (ORDER)."""
    holder.submit(_work(resumable=True), _GROUP, 160.0, 100.0)
    holder.granted(messages.Grant("r", "e1", 3000), "n2", 100.0)
    holder.start_dispatch("r", 100.0)
    assert holder.may_repeat("r", states.Outcome.BROKEN)
    assert holder.position_lost("r")
    assert not holder.position_lost("r")
    holder.first_token("r", 100.5)
    assert holder.ask_backup("r", "r+1", 101.0) == []
    for outcome in (states.Outcome.BROKEN, states.Outcome.GARBAGE):
        assert not holder.may_repeat("r", outcome)
    (release,) = holder.finished("r", states.Outcome.BROKEN, 103.0, -1, 50)
    assert isinstance(release.message, messages.Release)
    assert "r" not in holder.held


def test_unreachable_endpoint_is_left_out_of_the_own_share():
    """Guards against repeated dispatches to endpoints beyond a partition.

    A data centre that is cut off from the owner and from most endpoints must
    use those that it can still reach.
    """

    class Members:
        def live(self, centre):
            return ["n1", "n2"]

        def reachable(self):
            return ["n1", "n2"]

        def node_count(self):
            return 2

        def owner(self, group):
            return "n2"

        def endpoint_vm_state(self, vm):
            return states.EndpointState.LIVE

    node = scheduler.NodeScheduler("n1", "cell", Members(), 1)
    node.configure(_configuration(endpoints=2), 100.0)
    tried = []
    for number in range(4):
        now = 100.0 + number
        request = f"r{number}"
        emitted = node.submit(_work(request, deadline=now + 60.0), now)
        emitted += node.tick(now) + node.tick(now + 0.2)
        dispatched = [
            effect for effect in emitted if isinstance(effect, effects.Dispatch)
        ]
        (dispatch,) = dispatched
        tried.append(dispatch.endpoint)
        assert node.start_dispatch(request, now + 0.2)
        failed = dispatch.endpoint == "e0"
        outcome = (
            states.Outcome.NOT_SENT if failed else (states.Outcome.COMPLETED)
        )
        node.finished(request, outcome, now + 0.5)
        node.cancel(request, now + 0.5)
    assert tried.count("e0") <= 2
    assert tried[1] == "e1"


def test_repeats_from_own_shares_stay_within_the_budget():
    """Guards against repeats that no budget counts while the owner is silent.

    All endpoints were replaced by others at their addresses, so that each
    dispatch ends unsent after it has arrived there.
    """
    nodes = [f"n{number}" for number in range(30)]
    members = _Members(nodes)
    budget = (0.2, 20.0, 10.0)
    firsts = repeats = 0
    for node in nodes[1:]:
        core = scheduler.NodeScheduler(node, "cell", members, 1)
        core.set_attempt_budget(*budget)
        core.configure(_configuration(endpoints=8), 100.0)
        dispatched = collections.Counter()
        for step in range(40):
            now = 100.0 + step * 0.25
            if step % 4 == 0:
                core.submit(_work(f"{node}-{step}", deadline=130.0), now)
            for effect in core.tick(now):
                if isinstance(effect, effects.Dispatch):
                    core.start_dispatch(effect.request, now)
                    dispatched[effect.request] += 1
                    core.finished(effect.request, states.Outcome.NOT_SENT, now)
        firsts += len(dispatched)
        repeats += dispatched.total() - len(dispatched)
    ratio, slack, _ = budget
    assert firsts > 200
    assert repeats <= ratio * firsts + slack


def test_endpoint_that_fails_some_runs_is_still_used():
    """Guards against idle slots while all endpoints fail part of their runs.

    The endpoints of a service may all answer some requests with errors while
    their health checks succeed.
    """
    owner = _owner(endpoints=2)
    for number in range(10):
        (grant,) = _messages(owner.ask(_ask(f"r{number}"), "n1", 100.0))
        failed = messages.Release(
            _GROUP,
            f"r{number}",
            grant.endpoint,
            states.Outcome.FAILED.code,
            -1,
            0,
            9,
            0,
        )
        owner.release(failed, "n1", 100.0)
    for number in range(4):
        emitted = _messages(owner.ask(_ask(f"s{number}"), "n1", 100.0))
        assert isinstance(emitted[0], messages.Grant)


def test_endpoint_that_cannot_be_connected_to_is_left_out():
    """Guards against further grants for an endpoint that is down."""
    owner = _owner(endpoints=2)
    tried = []
    for number in range(12):
        emitted = _messages(owner.ask(_ask(f"r{number}"), "n1", 100.0))
        tried.append(emitted[0].endpoint)
        down = emitted[0].endpoint == "e0"
        outcome = states.Outcome.NOT_SENT if down else states.Outcome.COMPLETED
        release = messages.Release(
            _GROUP, f"r{number}", emitted[0].endpoint, outcome.code, -1, 9, 9, 9
        )
        owner.release(release, "n1", 100.0)
    assert tried.count("e0") <= 2


def test_sole_endpoint_that_cannot_be_connected_to_opens_its_breaker():
    """Guards against a connection attempt for each request to a dead endpoint.

    The service has no other endpoint.
    """
    owner = _owner(endpoints=1)
    for number in range(2):
        owner.ask(_ask(f"r{number}"), "n1", 100.0)
        release = messages.Release(
            _GROUP,
            f"r{number}",
            "e0",
            states.Outcome.NOT_SENT.code,
            -1,
            9,
            9,
            9,
        )
        owner.release(release, "n1", 100.0)
    assert owner.breaker("e0").state is breakers.BreakerState.OPEN


def test_endpoint_that_one_node_does_not_reach_keeps_its_breaker_closed():
    """Guards against a node's lost links that keep others from an endpoint."""
    owner = _owner(endpoints=1)
    for number in range(6):
        owner.ask(_ask(f"r{number}"), "n1", 100.0)
        release = messages.Release(
            _GROUP,
            f"r{number}",
            "e0",
            states.Outcome.UNREACHED.code,
            -1,
            9,
            9,
            9,
        )
        owner.release(release, "n1", 100.0)
    assert owner.breaker("e0").state is breakers.BreakerState.CLOSED


def test_node_asks_for_another_endpoint_than_the_one_it_does_not_reach(holder):
    """Guards against grants that the node cannot use.

    The request has not been sent, so it counts as its first attempt.
    """
    holder.members_of = lambda group: {"e1", "e2"}
    holder.submit(_work(), _GROUP, 160.0, 100.0)
    holder.granted(messages.Grant("r", "e1", 3000), "n2", 100.0)
    holder.start_dispatch("r", 100.0)
    emitted = holder.finished("r", states.Outcome.UNREACHED, 100.1, -1, 0)
    (ask,) = (
        effect.message
        for effect in emitted
        if isinstance(effect.message, messages.Ask)
    )
    assert [pause.endpoint for pause in ask.terms.pauses] == ["e1"]
    assert ask.terms.attempt == 1


def test_stream_that_is_not_resumable_is_not_run_again(holder):
    """Guards against sending a caller the same events twice."""
    holder.submit(_work(idempotent=True), _GROUP, 160.0, 100.0)
    holder.granted(messages.Grant("r", "e1", 3000), "n2", 100.0)
    holder.start_dispatch("r", 100.0)
    assert holder.may_repeat("r", states.Outcome.BROKEN)
    holder.first_token("r", 100.5)
    assert not holder.may_repeat("r", states.Outcome.BROKEN)


def test_acknowledged_ask_is_repeated_as_a_reminder(holder):
    """Guards against the traffic of whole asks repeated to a busy owner.

    An owner that does not know the request answers `Forgotten`, and the
    holder sends the whole `Ask` again.
    """
    holder.submit(_work(), _GROUP, 160.0, 100.0)
    holder.queued("r", "n2")
    for second in (101.0, 102.0, 103.0):
        assert _tick(holder, second) == []
    (reminder,) = _tick(holder, 104.1)
    assert reminder == effects.Send("n2", messages.Reminder(_GROUP, "r"))
    (again,) = holder.forgotten("r", "n2", 104.2)
    assert isinstance(again.message, messages.Ask)
    assert again.message.waited_ms == 4200
    assert holder.forgotten("r", "n3", 104.3) == []
    assert holder.forgotten("s", "n2", 104.3) == []


def test_owner_answers_reminders_with_the_state_of_the_request():
    """Guards against a request that waits until its deadline.

    This happens if a lost grant or a lost `Ask` is not sent again.
    """
    owner = _owner(endpoints=1)
    (grant,) = _messages(owner.ask(_ask("r0"), "n1", 100.0))
    owner.ask(_ask("r1"), "n1", 100.0)
    owner.ask(_ask("queued"), "n1", 100.0)
    for request, answer in {
        "r0": grant,
        "queued": messages.Queued("queued"),
        "unknown": messages.Forgotten("unknown"),
    }.items():
        assert _messages(owner.repeat_ask(request, "n1", 100.5)) == [answer]
    owner.set_open("e0", False)
    gone = _messages(owner.repeat_ask("r0", "n1", 100.6))
    assert gone == [messages.Forgotten("r0")]


def test_ask_is_repeated_in_full_after_a_pause(holder):
    """Guards against reminders to an owner that has dropped the requests.

    Owners drop the queued requests of a holder that is paused.
    """
    holder.submit(_work(), _GROUP, 160.0, 100.0)
    holder.queued("r", "n2")
    (again,) = _tick(holder, 109.0)
    assert isinstance(again.message, messages.Ask)


def test_inputs_of_a_quota_refusal_contain_the_remaining_quota():
    """Guards against an over_quota refusal without its inputs in the log."""
    owner = _owner(quota=declarations.Quota(rate=10.0, burst=20.0))
    cost = 15
    owner.ask(_ask("first", cost=cost), "n1", 100.0)
    (refusal,) = _messages(owner.ask(_ask("r", cost=cost), "n1", 100.0))
    assert refusal.kind == errors.ErrorKind.OVER_QUOTA.value
    inputs = owner.decision_inputs("r", 100.0)
    assert inputs["cost"] == cost
    assert inputs["quota_left"] < cost
    assert inputs["quota_share_percent"] == 100


def test_inputs_are_kept_for_a_request_refused_while_queued():
    """Guards against a refusal without its inputs in the log."""
    owner = _owner(endpoints=1)
    for number in range(2):
        owner.ask(_ask(f"r{number}"), "n1", 100.0)
    owner.ask(_ask("waits", first_ms=1500, target_ms=1400), "n1", 100.0)
    owner.ask(_ask("other"), "n1", 100.0)
    refused = _messages(owner.tick(103.0))
    assert "waits" in [message.request for message in refused]
    assert owner.has_decided("waits")
    assert owner.decision_inputs("waits", 103.0)["occupied"] == 2
    assert not owner.has_decided("unknown")


def test_queued_request_is_asked_again_when_its_owner_restarts(holder):
    """Guards against a request that a restarted owner does not know.

    The holder must not wait until the next regular repeat.
    """
    holder.submit(_work(), _GROUP, 160.0, 100.0)
    holder.queued("r", "n2")
    assert holder.owner_restarted("n3", 100.5) == []
    emitted = [effect.message for effect in holder.owner_restarted("n2", 100.5)]
    assert [type(message) for message in emitted] == [
        messages.Register,
        messages.Ask,
    ]
    # The new incarnation may not answer either.
    holder.fallback = lambda held, now: "e1"
    assert _tick(holder, 100.7) == [effects.Dispatch("r", "e1", own_share=True)]
