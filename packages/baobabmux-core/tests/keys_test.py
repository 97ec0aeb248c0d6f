"""Tests of idempotency keys and kept answers."""

import hypothesis
import pytest
from hypothesis import strategies as st

from baobabmux_core import (
    declarations,
    errors,
    invariants,
    keys,
    messages,
    states,
)

_NOW_MS = 1_796_000_000_000
_LIMITS = declarations.KeyLimits(100.0, 3, 300_000)


def _uuid7(time_ms, version="7"):
    digits = f"{time_ms:012x}"
    return f"{digits[:8]}-{digits[8:]}-{version}abc-8abc-0123456789AB"


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (_uuid7(_NOW_MS), None),
        (_uuid7(_NOW_MS - 100_000), None),
        (_uuid7(_NOW_MS - 100_001), errors.ErrorKind.KEY_EXPIRED),
        (_uuid7(_NOW_MS + 300_000), None),
        (_uuid7(_NOW_MS + 300_001), errors.ErrorKind.BAD_KEY),
        (_uuid7(_NOW_MS, "4"), errors.ErrorKind.BAD_KEY),
        ("{" + _uuid7(_NOW_MS) + "}", errors.ErrorKind.BAD_KEY),
        (_uuid7(_NOW_MS).replace("8abc", "cabc"), errors.ErrorKind.BAD_KEY),
        ("", errors.ErrorKind.BAD_KEY),
    ],
)
def test_key_age(text, expected):
    """Guards against keys that are valid longer than their claim records."""
    parsed = keys.parse_key(text, _NOW_MS, 100.0)
    assert (parsed.error if parsed.is_error() else None) is expected


def test_spelling_does_not_change_the_key():
    """Guards against a second run when a key is repeated in upper case."""
    texts = (_uuid7(_NOW_MS).upper(), _uuid7(_NOW_MS).lower())
    found = [keys.parse_key(text, _NOW_MS, 100.0).ok for text in texts]
    assert len({keys.key_hash("w", "r", key) for key in found}) == 1
    assert keys.key_hash("w", "r2", found[0]) != keys.key_hash(
        "w", "r", found[0]
    )


def test_first_attempt_holds_the_key_until_it_is_freed():
    """Guards against two runs of one key, and against a key never freed."""
    registry = keys.KeyRegistry(_LIMITS)
    asks = [messages.KeyAsk(1, attempt, 7) for attempt in "abcd"]
    assert registry.register(asks[0], "n1", 0.0).winner == "a"
    assert registry.register(asks[1], "n2", 1.0).holder == "n1"
    registry.release(1, "b")
    assert registry.register(asks[1], "n2", 1.0).winner == "a"
    registry.release(1, "a")
    assert registry.register(asks[1], "n2", 1.0).winner == "b"
    registry.drop_holder("n2")
    assert registry.register(asks[2], "n3", 2.0).winner == "c"
    assert registry.register(asks[3], "n3", 102.1).winner == "d"


def test_registry_is_bounded(monkeypatch):
    """Guards against memory that grows without bound with the keys."""
    monkeypatch.setattr(keys, "_MAX_REGISTRATIONS", 10)
    registry = keys.KeyRegistry(_LIMITS)
    for number in range(50):
        registry.register(messages.KeyAsk(number, "a", 7), "n", 0.0)
    assert len(registry) == 10


def _fetch(store, key, attempt):
    fetch = keys.AnswerFetch(key, attempt)
    while (ask := fetch.next_ask()) is not None and fetch.status is None:
        assert fetch.take(store.part(ask))
    return fetch


def test_store_respects_its_limits():
    """Guards against kept answers that fill the memory of a holder."""
    store = keys.AnswerStore(_LIMITS)
    for number in range(40):
        store.started(number, f"a{number}")
        answer = keys.KeptAnswer(200, "text/plain", b"x" * 140_000)
        store.finished(f"a{number}", answer)
        assert store.kept_bytes <= 300_000
    assert _fetch(store, 39, "a39").answer == answer
    assert _fetch(store, 37, "a37").status is states.RunStatus.DONE
    assert _fetch(store, 1, "a1").status is states.RunStatus.UNKNOWN
    assert len(store._attempts) <= 3 * 4


def test_status_without_an_answer():
    """Guards against a wrong run status in the reply to a repeated send."""
    store = keys.AnswerStore(_LIMITS)
    for attempt in "abcd":
        store.started(1, attempt)
    store.outcome_unknown("b")
    store.refused("c")
    store.finished("d", keys.KeptAnswer(200, "", b"x" * 300_001))
    assert [_fetch(store, 1, attempt).status.value for attempt in "abcde"] == [
        "running",
        "unknown",
        "not_run",
        "done",
        "unknown",
    ]
    assert _fetch(store, 2, "d").status is states.RunStatus.UNKNOWN


class _AcceptsAnyPart(keys.AnswerFetch):
    def _matches(self, part):
        return part.parts > 0 and self.answer is None


def _fetch_mixed_parts(fetch_class, order):
    """Fetches three answers; each fetch receives the parts of all of them."""
    store = keys.AnswerStore(declarations.KeyLimits())
    facts = []
    for number, key in enumerate([1, 1, 2]):
        data = bytes([number]) * (2 * keys.PART_BYTES + number)
        store.started(key, f"a{number}")
        store.finished(f"a{number}", keys.KeptAnswer(200, "t", data))
        facts.append(invariants.Produced(f"a{number}", hash(data)))
    parts = [
        store.part(messages.AnswerAsk(key, f"a{number}", part))
        for number, key in enumerate([1, 1, 2])
        for part in range(3)
    ]
    for number, key in enumerate([1, 1, 2]):
        fetch = fetch_class(key, f"a{number}")
        for index in order:
            fetch.take(parts[index])
        if fetch.answer is not None:
            facts.append(
                invariants.Answered(
                    f"r{number}", f"a{number}", hash(fetch.answer.data)
                )
            )
    return facts


@hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
@hypothesis.given(st.lists(st.sampled_from(range(9)), max_size=40))
def test_fetch_accepts_only_parts_of_its_own_answer(order):
    """Guards against an incomplete answer or that of another request.

    Parts of three answers arrive in any order, some twice or never.
    """
    facts = _fetch_mixed_parts(keys.AnswerFetch, order)
    assert not invariants.answers_are_own_and_complete(facts)


def test_broken_fetch_is_detected():
    """Guards against an invariant that cannot fail.

    It must hold for the real fetch and fail for one that accepts any part.
    """
    order = [0, 1, 5, 3, 4, 2, 6, 7, 8]
    facts = _fetch_mixed_parts(keys.AnswerFetch, order)
    assert sum(isinstance(fact, invariants.Answered) for fact in facts) == 3
    assert not invariants.answers_are_own_and_complete(facts)
    facts = _fetch_mixed_parts(_AcceptsAnyPart, order)
    assert invariants.answers_are_own_and_complete(facts)
