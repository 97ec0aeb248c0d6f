"""Idempotency keys: their age, their first attempt and the kept answers.

Keys of idempotent routes are registered at their home node, in memory only:
after the loss of a registration the request runs again, which does no harm.
Keys of other routes are claimed in the log (module `claims`); their answers
are kept and fetched in the same way.
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
"""Longest part of a kept answer in one message."""

# Registrations at one home node; about 10 MB.
_MAX_KEYS = 50_000

# Attempts whose status is remembered after their answer was evicted.
_STATUSES_PER_ANSWER = 4

_UUID7 = re.compile(
    r"([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}"
)


class Key(msgspec.Struct, frozen=True):
    """An idempotency key within the claim window.

    Attributes:
        text: Its canonical spelling.
        time_ms: Time in the key, in Unix milliseconds.
    """

    text: str
    time_ms: int


def parse_key(
    text: str, now_ms: int, window_seconds: float
) -> expression.Result[Key, errors.ErrorKind]:
    """Checks an idempotency key.

    Args:
        text: Value of the header.
        now_ms: Unix milliseconds now.
        window_seconds: Greatest age of a key.

    Returns:
        The key, or `BAD_KEY` if it is no UUID of version 7 or too far ahead
        of the clock, or `KEY_EXPIRED` if it is older than the window.
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
    """First attempt with a key."""

    winner: ids.AttemptId
    holder: ids.NodeId
    body: ids.ContentDigest
    at: float


class KeyRegistry:
    """First attempts with the keys whose home is this node."""

    def __init__(self, limits: declarations.KeyLimits):
        self.limits = limits
        self._keys: collections.OrderedDict[ids.KeyHash, _Registration] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Returns the number of keys in memory."""
        return len(self._keys)

    def register(
        self, ask: messages.KeyAsk, holder: ids.NodeId, now: float
    ) -> messages.KeyAnswer:
        """Registers an attempt, unless another one came first.

        Args:
            ask: The attempt.
            holder: Node that sent the ask.
            now: Time in seconds.

        Returns:
            The first attempt with the key, which may be the one that asks.
        """
        self._drop_expired(now)
        first = self._keys.setdefault(
            ask.key, _Registration(ask.attempt, holder, ask.body, now)
        )
        if len(self._keys) > _MAX_KEYS:
            self._keys.popitem(last=False)
        return messages.KeyAnswer(
            ask.key, ask.attempt, first.winner, first.holder, first.body
        )

    def release(self, key: ids.KeyHash, attempt: ids.AttemptId) -> None:
        """Opens the key of an attempt that was refused without a run."""
        first = self._keys.get(key)
        if first is not None and first.winner == attempt:
            del self._keys[key]

    def drop_holder(self, holder: ids.NodeId) -> None:
        """Opens all keys of a node that has died; repeats run again."""
        lost = [
            key for key, first in self._keys.items() if first.holder == holder
        ]
        for key in lost:
            del self._keys[key]

    def _drop_expired(self, now: float) -> None:
        while self._keys:
            key, oldest = next(iter(self._keys.items()))
            if now - oldest.at <= self.limits.window_seconds:
                return
            del self._keys[key]


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
    """An attempt that this node holds or held."""

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
        self._kept: collections.OrderedDict[ids.AttemptId, int] = (
            collections.OrderedDict()
        )

    def started(self, key: ids.KeyHash, attempt: ids.AttemptId) -> None:
        """Notes that an attempt is held here."""
        self._attempts.setdefault(
            attempt, _Attempt(key, states.RunStatus.RUNNING)
        )

    def finished(
        self, attempt: ids.AttemptId, answer: KeptAnswer | None
    ) -> None:
        """Keeps the complete answer of an attempt; evicts the oldest ones.

        Args:
            attempt: Attempt that was completed.
            answer: Its answer, or None if it was too large to be copied.
        """
        known = self._attempts.get(attempt)
        if known is None or known.status is not states.RunStatus.RUNNING:
            return
        known.status = states.RunStatus.DONE
        size = len(answer.data) if answer else 0
        if answer and size <= self.limits.kept_answer_bytes:
            known.answer = answer
            self._kept[attempt] = size
            self.kept_bytes += size
        self._evict()

    def outcome_unknown(self, attempt: ids.AttemptId) -> None:
        """Notes that the outcome of an attempt is unknown."""
        known = self._attempts.get(attempt)
        if known is not None and known.status is states.RunStatus.RUNNING:
            known.status = states.RunStatus.UNKNOWN
            self._evict()

    def refused(self, attempt: ids.AttemptId) -> None:
        """Notes that an attempt ended without a run."""
        known = self._attempts.get(attempt)
        if known is not None and known.status is states.RunStatus.RUNNING:
            known.status = states.RunStatus.NOT_RUN
            self._evict()

    def part(self, ask: messages.AnswerAsk) -> messages.AnswerPart:
        """Answers an ask for a part of a kept answer.

        Returns:
            The part. Without a kept answer it has `parts` 0 and tells the
            status; an attempt that is not remembered here is `unknown`.
        """
        known = self._attempts.get(ask.winner)
        if known is None or known.key != ask.key:
            return _no_answer(ask, states.RunStatus.UNKNOWN)
        if known.answer is None:
            return _no_answer(ask, known.status)
        answer = known.answer
        parts = max(1, -(-len(answer.data) // PART_BYTES))
        if not 0 <= ask.part < parts:
            return _no_answer(ask, known.status)
        start = ask.part * PART_BYTES
        return messages.AnswerPart(
            ask.key,
            ask.winner,
            known.status.value,
            ask.part,
            parts,
            answer.http_status,
            answer.content_type,
            answer.data[start : start + PART_BYTES],
        )

    def _evict(self) -> None:
        while self._kept and (
            len(self._kept) > self.limits.kept_answers
            or self.kept_bytes > self.limits.kept_answer_bytes
        ):
            attempt, size = self._kept.popitem(last=False)
            self.kept_bytes -= size
            self._attempts[attempt].answer = None
        spare = len(self._attempts) - (
            self.limits.kept_answers * _STATUSES_PER_ANSWER
        )
        # Running attempts stay: their number is bounded by the holder.
        if spare > 0:
            ended = [
                attempt
                for attempt, known in self._attempts.items()
                if known.status is not states.RunStatus.RUNNING
                and known.answer is None
            ]
            for attempt in ended[: spare + spare // 2]:
                del self._attempts[attempt]


class AnswerFetch:
    """Fetches one attempt's kept answer from its holder, part by part.

    Parts arrive late, doubled, out of order and for other attempts; only
    those of this key and attempt count.

    Attributes:
        key: Hash of the key.
        winner: Attempt whose answer is wanted.
        answer: The complete answer, or None until then.
        status: Status told by the holder while there is no answer, or None.
    """

    def __init__(self, key: ids.KeyHash, winner: ids.AttemptId):
        self.key = key
        self.winner = winner
        self.answer: KeptAnswer | None = None
        self.status: states.RunStatus | None = None
        self._head: messages.AnswerPart | None = None
        self._parts: dict[int, bytes] = {}

    def next_ask(self) -> messages.AnswerAsk | None:
        """Returns the ask for the first missing part, or None at the end."""
        if self.answer is not None:
            return None
        part = 0
        while part in self._parts:
            part += 1
        return messages.AnswerAsk(self.key, self.winner, part)

    def take(self, part: messages.AnswerPart) -> bool:
        """Takes a part if it belongs to this answer.

        Returns:
            Whether it was taken.
        """
        if not self._belongs(part):
            return False
        if part.parts == 0:
            self.status = states.RunStatus(part.status)
            return True
        self._head = self._head or part
        self._parts[part.part] = part.data
        if len(self._parts) == part.parts:
            data = b"".join(self._parts[i] for i in range(part.parts))
            self.answer = KeptAnswer(part.http_status, part.content_type, data)
        return True

    def _belongs(self, part: messages.AnswerPart) -> bool:
        if (part.key, part.winner) != (self.key, self.winner):
            return False
        if self.answer is not None:
            return False
        if part.parts == 0:
            return True
        head = self._head or part
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
