"""Table of all ways out of a holder, by the state of the request's attempt.

A refusal says that a request was not run and never will be. Before the first
byte, every way out may refuse, and nothing may be sent afterwards. From then on
none may.
"""

import itertools

import pytest

from baobabmux_core import effects, errors, holders, messages, states

_GROUP = "pool@dc"
_NOW = 100.0
_LATE = 161.0


def _refusal(kind):
    return messages.Refusal("r", kind.value, 500)


def _unreachable(holder, now):
    refusal = _refusal(errors.ErrorKind.DEADLINE_UNREACHABLE)
    return holder.refused(refusal, "n2", lambda held: None, now)


def _over_quota(holder, now):
    refusal = _refusal(errors.ErrorKind.OVER_QUOTA)
    return holder.refused(refusal, "n2", lambda held: None, now)


def _lost_owner(holder, now):
    return [
        *holder.owner_changed(_GROUP, now),
        *holder.owner_restarted("n2", now),
        *holder.leave_unreachable_group(_GROUP, now),
    ]


# All calls that may end a request without an answer from an endpoint.
_EXITS = {
    "deadline": lambda holder, now: holder.tick(_LATE, lambda held: None),
    "pause of the process": lambda holder, now: holder.tick(
        now + 30.0, lambda held: None
    ),
    "owner: too late": _unreachable,
    "owner: over quota": _over_quota,
    "owner lost": _lost_owner,
    "service removed": lambda holder, now: holder.refuse_undeclared(set()),
    "content quarantined": lambda holder, now: holder.refuse_quarantined(
        lambda work: 1.0
    ),
    "claim lost": lambda holder, now: holder.claim_decided(
        "r", False, now, errors.ErrorKind.LOG_UNAVAILABLE, 1.0
    ),
    "cancelled": lambda holder, now: holder.cancel("r", now),
}
_STATES = ["queued", "granted", "own share", "dispatched", "streaming"]


def _holder(state):
    """Returns a holder of the request `r`, the attempt of which is in state."""
    holder = holders.Holder(
        "n1", lambda group: "n2", lambda endpoint: True, lambda work: _GROUP, 1
    )
    holder.tick(_NOW, lambda held: None)
    work = effects.Work(
        "r", "a", "pool", 0, "w", 160.0, 100, 100, (), 1,
        idempotent=False, cost=10,
    )  # fmt: skip
    if state == "own share":
        holder.fallback = lambda held, now: "e1"
    holder.submit(work, _GROUP, 160.0, _NOW)
    if state == "own share":
        holder.tick(_NOW + 0.2, lambda held: None)
    elif state != "queued":
        holder.granted(messages.Grant("r", "e1", 60_000), "n2", _NOW)
    if state in ("dispatched", "streaming"):
        assert holder.start_dispatch("r", _NOW)
    if state == "streaming":
        holder.first_token("r", _NOW)
    return holder


@pytest.mark.parametrize(
    ("state", "way_out"), list(itertools.product(_STATES, _EXITS))
)
def test_refused_request_was_not_sent_and_never_is(state, way_out):
    """Guards against a refusal of a request that runs, or runs later."""
    holder = _holder(state)
    emitted = _EXITS[way_out](holder, _NOW + 0.5)
    is_sent = state in ("dispatched", "streaming")
    refused = [e for e in emitted if isinstance(e, effects.Refuse)]
    if is_sent:
        assert refused == []
        assert "r" in holder.held
        return
    if "r" in holder.held:
        assert refused == []
        return
    assert len(refused) == (way_out != "cancelled")
    # A grant that was on its way is not used.
    late = holder.granted(messages.Grant("r", "e1", 60_000), "n2", _NOW + 0.6)
    assert not any(isinstance(e, effects.Dispatch) for e in late)
    charged = messages.QuotaAnswer("r", True)
    assert holder.charged(charged, _NOW + 0.6) == []
    assert not holder.start_dispatch("r", _NOW + 0.6)


# How an attempt may end, and whether the endpoint may have begun to run it.
_ENDS = [
    (states.Outcome.NOT_SENT, False),
    (states.Outcome.UNREACHED, False),
    (states.Outcome.REJECTED, False),
    (states.Outcome.FAILED, True),
    (states.Outcome.BROKEN, True),
    (states.Outcome.GARBAGE, True),
    (states.Outcome.CANCELLED, True),
]


@pytest.mark.parametrize(("outcome", "may_have_run"), _ENDS)
def test_request_goes_on_only_if_no_endpoint_may_have_run_it(
    outcome, may_have_run
):
    """Guards against a second run, or a refusal after the first."""
    holder = _holder("dispatched")
    emitted = holder.finished("r", outcome, _NOW + 1.0, -1, 0)
    assert not any(isinstance(e, effects.Refuse) for e in emitted)
    unsent = outcome in states.UNSENT_OUTCOMES
    assert ("r" in holder.held) == unsent
    assert not (unsent and may_have_run)
    later = holder.tick(_LATE, lambda held: None)
    refused = [e for e in later if isinstance(e, effects.Refuse)]
    assert len(refused) == unsent
