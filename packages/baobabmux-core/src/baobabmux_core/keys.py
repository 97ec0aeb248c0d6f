"""Idempotency keys: their age, their first attempt and the kept answers.

Keys of idempotent routes are registered in memory only, at a home node that is
chosen by rendezvous hashing. If a registration is lost, the request runs again,
which is safe on such a route.
Keys of other routes are claimed in the log (module `claims`). The answers of
both kinds are kept by the holder and fetched from it in the same way.

`KeyRegistry` owns the registrations at their home node, `AnswerStore` the kept
answers at the holder and `AnswerFetch` the transfer of one answer.
"""

import collections
import re

import expression
import msgspec
import xxhash

from baobabmux_core import (
    claims,
    declarations,
    errors,
    ids,
    messages,
    states,
)

PART_BYTES = 65_536
"""Maximum size of the part of a kept answer in one message."""

# Registrations at one home node; about 10 MB.
_MAX_REGISTRATIONS = 50_000

# Number of attempts whose status is stored per answer that may be kept. A
# status outlives the answer, which is evicted earlier.
_STATUSES_PER_ANSWER = 4

_UUID7 = re.compile(
    r"([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}"
)


class Key(msgspec.Struct, frozen=True):
    """An idempotency key within the claim window.

    Attributes:
        text: The key in lower case.
        time_ms: Timestamp inside the key, in Unix milliseconds.
    """

    text: str
    time_ms: int


def parse_key(
    text: str, now_ms: int, window_seconds: float
) -> "expression.Result[Key, errors.ErrorKind]":
    """Parses an idempotency key and checks its age.

    Args:
        text: Value of the header.
        now_ms: Current time in Unix milliseconds.
        window_seconds: Maximum age of a key.

    Returns:
        The key, or `BAD_KEY` if it is not a UUID of version 7 or too far
        ahead of the clock, or `KEY_EXPIRED` if it is older than the window.
    """
    canonical = text.strip().lower()
    match = _UUID7.fullmatch(canonical)
    if match is None:
        return expression.Error(errors.ErrorKind.BAD_KEY)
    time_ms = int(match[1] + match[2], 16)
    if time_ms > now_ms + claims.KEY_AHEAD_SECONDS * 1000:
        return expression.Error(errors.ErrorKind.BAD_KEY)
    if time_ms < now_ms - window_seconds * 1000:
        return expression.Error(errors.ErrorKind.KEY_EXPIRED)
    return expression.Ok(Key(canonical, time_ms))


def key_hash(
    workspace: ids.Workspace, route: ids.RouteName, key: Key
) -> ids.KeyHash:
    """Returns the hash under which a key is claimed or registered."""
    text = f"{workspace}\x00{route}\x00{key.text}"
    return ids.KeyHash(xxhash.xxh3_64_intdigest(text.encode()))


class _Registration(msgspec.Struct, frozen=True):
    """First attempt with a key of an idempotent route."""

    winner: ids.AttemptId
    holder: ids.NodeId
    body: ids.ContentDigest
    registered_at: float


class KeyRegistry:
    """Registrations of the keys that have this node as their home."""

    def __init__(self, limits: declarations.KeyLimits):
        self.limits = limits
        self._registrations: collections.OrderedDict[
            ids.KeyHash, _Registration
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        """Returns the number of keys in memory."""
        return len(self._registrations)

    def register(
        self, ask: messages.KeyAsk, holder: ids.NodeId, now: float
    ) -> messages.KeyAnswer:
        """Registers an attempt, unless the key has one already.

        Args:
            ask: Ask with the key and the attempt.
            holder: Node that sent the ask.
            now: Time in seconds.

        Returns:
            The first attempt with the key, which may be the one in `ask`.
        """
        self._drop_expired(now)
        first = self._registrations.setdefault(
            ask.key, _Registration(ask.attempt, holder, ask.body, now)
        )
        if len(self._registrations) > _MAX_REGISTRATIONS:
            self._registrations.popitem(last=False)
        return messages.KeyAnswer(
            ask.key, ask.attempt, first.winner, first.holder, first.body
        )

    def release(self, key: ids.KeyHash, attempt: ids.AttemptId) -> None:
        """Frees the key of an attempt that was refused without a run."""
        first = self._registrations.get(key)
        if first is not None and first.winner == attempt:
            del self._registrations[key]

    def drop_holder(self, holder: ids.NodeId) -> None:
        """Frees all keys of a node that is gone or has restarted.

        Repeated sends with these keys then run again.
        """
        held_keys = [
            key
            for key, first in self._registrations.items()
            if first.holder == holder
        ]
        for key in held_keys:
            del self._registrations[key]

    def _drop_expired(self, now: float) -> None:
        while self._registrations:
            key, oldest = next(iter(self._registrations.items()))
            if now - oldest.registered_at <= self.limits.window_seconds:
                return
            del self._registrations[key]


class KeptAnswer(msgspec.Struct, frozen=True):
    """A complete answer of an endpoint.

    Attributes:
        http_status: HTTP status.
        content_type: Media type.
        data: Body.
    """

    http_status: int
    content_type: str
    data: bytes


class _Attempt(msgspec.Struct):
    """Status and kept answer of an attempt that this node holds or held."""

    key: ids.KeyHash
    status: states.RunStatus
    answer: KeptAnswer | None = None


class AnswerStore:
    """Bounded store of the answers of attempts that this node holds.

    Attributes:
        kept_bytes: Bytes of all kept answers.
    """

    def __init__(self, limits: declarations.KeyLimits):
        self.limits = limits
        self.kept_bytes = 0
        self._attempts: collections.OrderedDict[ids.AttemptId, _Attempt] = (
            collections.OrderedDict()
        )
        self._kept_sizes: collections.OrderedDict[ids.AttemptId, int] = (
            collections.OrderedDict()
        )

    def started(self, key: ids.KeyHash, attempt: ids.AttemptId) -> None:
        """Adds an attempt that this node holds, as running."""
        self._attempts.setdefault(
            attempt, _Attempt(key, states.RunStatus.RUNNING)
        )

    def finished(
        self, attempt: ids.AttemptId, answer: KeptAnswer | None
    ) -> None:
        """Marks an attempt as done and keeps its complete answer.

        The oldest answers are evicted if the limits are exceeded.

        Args:
            attempt: Attempt that has completed.
            answer: Its answer, or None if it was too large to copy.
        """
        stored = self._attempts.get(attempt)
        if stored is None or stored.status is not states.RunStatus.RUNNING:
            return
        stored.status = states.RunStatus.DONE
        size = len(answer.data) if answer else 0
        if answer and size <= self.limits.kept_answer_bytes:
            stored.answer = answer
            self._kept_sizes[attempt] = size
            self.kept_bytes += size
        self._evict()

    def outcome_unknown(self, attempt: ids.AttemptId) -> None:
        """Marks an attempt whose outcome is unknown."""
        stored = self._attempts.get(attempt)
        if stored is not None and stored.status is states.RunStatus.RUNNING:
            stored.status = states.RunStatus.UNKNOWN
            self._evict()

    def refused(self, attempt: ids.AttemptId) -> None:
        """Marks an attempt that ended without a run."""
        stored = self._attempts.get(attempt)
        if stored is not None and stored.status is states.RunStatus.RUNNING:
            stored.status = states.RunStatus.NOT_RUN
            self._evict()

    def part(self, ask: messages.AnswerAsk) -> messages.AnswerPart:
        """Answers an ask for a part of a kept answer.

        Returns:
            The part. Without a kept answer it has `parts` 0 and only the
            status, which is `unknown` for an attempt that is not stored here.
        """
        stored = self._attempts.get(ask.winner)
        if stored is None or stored.key != ask.key:
            return _no_answer(ask, states.RunStatus.UNKNOWN)
        if stored.answer is None:
            return _no_answer(ask, stored.status)
        answer = stored.answer
        parts = max(1, -(-len(answer.data) // PART_BYTES))
        if not 0 <= ask.part < parts:
            return _no_answer(ask, stored.status)
        start = ask.part * PART_BYTES
        return messages.AnswerPart(
            ask.key,
            ask.winner,
            stored.status.value,
            ask.part,
            parts,
            answer.http_status,
            answer.content_type,
            answer.data[start : start + PART_BYTES],
        )

    def _evict(self) -> None:
        while self._kept_sizes and (
            len(self._kept_sizes) > self.limits.kept_answers
            or self.kept_bytes > self.limits.kept_answer_bytes
        ):
            attempt, size = self._kept_sizes.popitem(last=False)
            self.kept_bytes -= size
            self._attempts[attempt].answer = None
        excess = len(self._attempts) - (
            self.limits.kept_answers * _STATUSES_PER_ANSWER
        )
        # Running attempts are never dropped; the holder bounds their number.
        if excess > 0:
            ended = [
                attempt
                for attempt, stored in self._attempts.items()
                if stored.status is not states.RunStatus.RUNNING
                and stored.answer is None
            ]
            for attempt in ended[: excess + excess // 2]:
                del self._attempts[attempt]


class AnswerFetch:
    """Fetches one attempt's kept answer from its holder, part by part.

    Parts may arrive late, twice, out of order or for other attempts; only
    those of this key and attempt are accepted.

    Attributes:
        key: Hash of the key.
        winner: Attempt whose answer is fetched.
        answer: The complete answer, or None until all parts have arrived.
        status: Status that the holder sent instead of an answer, or None.
    """

    def __init__(self, key: ids.KeyHash, winner: ids.AttemptId):
        self.key = key
        self.winner = winner
        self.answer: KeptAnswer | None = None
        self.status: states.RunStatus | None = None
        self._first_part: messages.AnswerPart | None = None
        self._parts: dict[int, bytes] = {}

    def next_ask(self) -> messages.AnswerAsk | None:
        """Returns the ask for the first missing part, or None if complete."""
        if self.answer is not None:
            return None
        part = 0
        while part in self._parts:
            part += 1
        return messages.AnswerAsk(self.key, self.winner, part)

    def take(self, part: messages.AnswerPart) -> bool:
        """Accepts a part if it belongs to this answer.

        Returns:
            Whether it was accepted.
        """
        if not self._matches(part):
            return False
        if part.parts == 0:
            self.status = states.RunStatus(part.status)
            return True
        self._first_part = self._first_part or part
        self._parts[part.part] = part.data
        if len(self._parts) == part.parts:
            data = b"".join(self._parts[i] for i in range(part.parts))
            self.answer = KeptAnswer(part.http_status, part.content_type, data)
        return True

    def _matches(self, part: messages.AnswerPart) -> bool:
        if (part.key, part.winner) != (self.key, self.winner):
            return False
        if self.answer is not None:
            return False
        if part.parts == 0:
            return True
        head = self._first_part or part
        return 0 <= part.part < part.parts and (
            part.parts,
            part.http_status,
            part.content_type,
        ) == (head.parts, head.http_status, head.content_type)


def _no_answer(
    ask: messages.AnswerAsk, status: states.RunStatus
) -> messages.AnswerPart:
    return messages.AnswerPart(
        ask.key, ask.winner, status.value, ask.part, 0, 0, "", b""
    )
