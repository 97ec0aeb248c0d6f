"""Claims on the keys of non-idempotent requests, kept in the log.

A key is claimed in the log before its request is dispatched. `ClaimLedger`
holds the state of every key of one partition; it is a fold over the records of
the stream `claims-NN`, so all readers agree on the winner. An attempt can win
a key only with its first record, so repeated and reordered records change
nothing.

The log must retain its records for longer than the claim window plus the
margins below. A reader that starts at the oldest retained record then reads
every record of each key that is still within the window.
"""

import collections
import enum
import sys
from collections.abc import Callable
from typing import Any

import msgspec

from baobabmux_core import ids, messages, states

KEY_AHEAD_SECONDS = 300.0
"""How far the timestamp inside a key may be ahead of a clock."""

CLOCK_MARGIN_SECONDS = 300.0
"""Maximum allowed difference between the clocks of nodes and log."""

_CLAIM_TAG, _WITHDRAWAL_TAG, _OUTCOME_TAG = "c", "w", "o"


class Claim(msgspec.Struct, frozen=True, array_like=True, tag=_CLAIM_TAG):
    """Entry of a record: an attempt claims a key."""

    key: ids.KeyHash
    attempt: ids.AttemptId
    holder: ids.NodeId
    body: ids.ContentDigest
    key_time_ms: int


class Withdrawal(
    msgspec.Struct, frozen=True, array_like=True, tag=_WITHDRAWAL_TAG
):
    """Entry of a record: an attempt gives up its claim and never runs."""

    key: ids.KeyHash
    attempt: ids.AttemptId


class Outcome(msgspec.Struct, frozen=True, array_like=True, tag=_OUTCOME_TAG):
    """Entry of a record: how the winning attempt ended.

    Attributes:
        key: Hash of the key.
        attempt: The winning attempt.
        status: `DONE` or `UNKNOWN`.
        answer: Digest of the answer, 0 if there is none.
    """

    key: ids.KeyHash
    attempt: ids.AttemptId
    status: states.RunStatus
    answer: ids.ContentDigest


Entry = Claim | Withdrawal | Outcome


class _Record(msgspec.Struct, tag="claims"):
    """Record of the stream; its entries are decoded one by one."""

    batcher: str
    entries: list[Any]


class ClaimState(msgspec.Struct, gc=False):
    """State of one key.

    Attributes:
        winner: Attempt that holds the key, or None if no attempt does.
        holder: Node that holds the winner's request.
        body: Digest of the winner's body.
        key_time_ms: Timestamp inside the key, in Unix milliseconds.
        status: `RUNNING` until an outcome is recorded.
        answer: Digest of the recorded answer, or 0.
        excluded: Attempts that lost or were withdrawn and can never win.
    """

    winner: ids.AttemptId | None
    holder: ids.NodeId
    body: ids.ContentDigest
    key_time_ms: int
    status: states.RunStatus = states.RunStatus.RUNNING
    answer: ids.ContentDigest = ids.ContentDigest(0)
    excluded: tuple[ids.AttemptId, ...] = ()


class ClaimVerdict(enum.Enum):
    """What becomes of a request after the answer to its claim."""

    WON = "won"
    STILL_RUNNING = "still_running"
    DONE = "done"
    UNKNOWN = "unknown"
    KEY_REUSED = "key_reused"
    KEY_EXPIRED = "key_expired"
    UNAVAILABLE = "unavailable"


def interpret_answer(
    answer: messages.ClaimAnswer,
    entry: messages.ClaimEntry,
    alive: Callable[[ids.NodeId], bool],
) -> ClaimVerdict:
    """Derives the verdict on a claim from a batcher's answer to it.

    Args:
        answer: Answer of a batcher.
        entry: The claim.
        alive: Returns whether a node is a live member.

    Returns:
        The verdict. After `DONE` the kept answer is stored at `answer.holder`,
        which may be gone.
    """
    status = states.RunStatus(answer.status)
    if status is states.RunStatus.NOT_RUN:
        return ClaimVerdict.UNAVAILABLE
    if not answer.winner:
        return ClaimVerdict.KEY_EXPIRED
    if answer.body != entry.body:
        return ClaimVerdict.KEY_REUSED
    if status is states.RunStatus.DONE:
        return ClaimVerdict.DONE
    if status is states.RunStatus.UNKNOWN:
        return ClaimVerdict.UNKNOWN
    if answer.winner == entry.attempt:
        return ClaimVerdict.WON
    if alive(answer.holder):
        return ClaimVerdict.STILL_RUNNING
    return ClaimVerdict.UNKNOWN


def must_withdraw(answer: messages.ClaimAnswer) -> bool:
    """Returns whether a claim that was refused undecided may be in the log.

    A holder that refuses its request must withdraw the attempt if this is
    True for an answer, or if a batcher has not answered its ask.
    """
    refused = answer.status == states.RunStatus.NOT_RUN.value
    return refused and answer.winner == answer.attempt


def partition(key: ids.KeyHash, partitions: int) -> int:
    """Returns the number of a key's partition."""
    return key % partitions


def stream(number: int) -> str:
    """Returns the name of a partition's log stream."""
    return f"claims-{number:02}"


def ledger_keys(
    claims_per_second: float, window_seconds: float, partitions: int
) -> float:
    """Returns how many keys a batcher holds in memory for one partition.

    A key takes about 340 bytes, so the number of partitions follows from the
    memory of a node.
    """
    kept_seconds = window_seconds + CLOCK_MARGIN_SECONDS
    return claims_per_second * kept_seconds / partitions


def retention_allows(retention_seconds: float, window_seconds: float) -> bool:
    """Returns whether a log's retention is long enough for a claim window."""
    margins = KEY_AHEAD_SECONDS + CLOCK_MARGIN_SECONDS
    return retention_seconds >= window_seconds + margins


class ClaimLedger:
    """Fold of one partition's stream.

    Attributes:
        next_offset: Offset of the next record to fold.
        restarts: How often the fold started over because records had expired
            unread.
        ignored: Number of records and entries that were malformed or outside
            the claim window.
    """

    def __init__(self, window_seconds: float):
        self.next_offset = 0
        self.restarts = 0
        self.ignored = 0
        self._window_ms = int(window_seconds * 1000)
        self._states: collections.OrderedDict[ids.KeyHash, ClaimState] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Returns the number of keys in memory."""
        return len(self._states)

    def apply(self, offset: int, record: Any, time_ms: int) -> list[Entry]:
        """Folds one record; records before `next_offset` are ignored.

        A gap in the offsets means that unread records have expired. The
        ledger then starts over as a new reader does: the log still has all
        records of each key within the window.

        Args:
            offset: Offset of the record.
            record: Data of the record, untrusted.
            time_ms: Unix milliseconds at which the log appended it.

        Returns:
            The well-formed entries of the record.
        """
        if offset < self.next_offset:
            return []
        if offset > self.next_offset:
            self.restart(offset)
        self.next_offset = offset + 1
        self._drop_expired(time_ms)
        entries = self._decode_entries(record)
        for entry in entries:
            self._fold(entry, time_ms)
        return entries

    def restart(self, first: int) -> None:
        """Clears the state and starts over at the oldest retained offset."""
        # The first read of a stream with expired records counts as a restart
        # too, although no state is lost.
        self.next_offset = first
        self.restarts += 1
        self._states.clear()

    def state(self, key: ids.KeyHash) -> ClaimState | None:
        """Returns the state of a key, or None if no attempt holds it."""
        state = self._states.get(key)
        return state if state is not None and state.winner else None

    def is_excluded(self, key: ids.KeyHash, attempt: ids.AttemptId) -> bool:
        """Returns whether an attempt has lost or was withdrawn."""
        state = self._states.get(key)
        return state is not None and attempt in state.excluded

    def _decode_entries(self, record: Any) -> list[Entry]:
        try:
            decoded = msgspec.convert(record, _Record)
        except (msgspec.ValidationError, RecursionError, OverflowError):
            self.ignored += 1
            return []
        entries = []
        for item in decoded.entries:
            try:
                entries.append(msgspec.convert(item, Entry))
            except (msgspec.ValidationError, RecursionError, OverflowError):
                self.ignored += 1
        return entries

    def _fold(self, entry: Entry, time_ms: int) -> None:
        if isinstance(entry, Claim):
            self._fold_claim(entry, time_ms)
        elif isinstance(entry, Withdrawal):
            self._fold_withdrawal(entry, time_ms)
        else:
            self._fold_outcome(entry)

    def _fold_claim(self, claim: Claim, time_ms: int) -> None:
        if not self._in_window(claim.key_time_ms, time_ms):
            self.ignored += 1
            return
        state = self._states.get(claim.key)
        if state is None:
            self._states[claim.key] = ClaimState(
                claim.attempt,
                # All keys of a node share one string.
                sys.intern(claim.holder),
                claim.body,
                claim.key_time_ms,
            )
        elif claim.attempt in state.excluded or claim.attempt == state.winner:
            return
        elif state.winner is not None:
            state.excluded += (claim.attempt,)
        else:
            state.winner = claim.attempt
            state.holder = claim.holder
            state.body = claim.body

    def _fold_withdrawal(self, entry: Withdrawal, time_ms: int) -> None:
        state = self._states.get(entry.key)
        if state is None:
            # A withdrawal may be appended before its claim, if a paused
            # batcher still holds the claim. It is kept until such a claim
            # would be outside the window.
            ahead_ms = int((KEY_AHEAD_SECONDS + CLOCK_MARGIN_SECONDS) * 1000)
            self._states[entry.key] = ClaimState(
                None,
                ids.NodeId(""),
                ids.ContentDigest(0),
                time_ms + ahead_ms,
                excluded=(entry.attempt,),
            )
            return
        if state.winner == entry.attempt:
            if state.status is not states.RunStatus.RUNNING:
                return
            state.winner = None
        if entry.attempt not in state.excluded:
            state.excluded += (entry.attempt,)

    def _fold_outcome(self, entry: Outcome) -> None:
        state = self._states.get(entry.key)
        if (
            state is None
            or state.winner != entry.attempt
            or state.status is not states.RunStatus.RUNNING
            or entry.status
            not in (states.RunStatus.DONE, states.RunStatus.UNKNOWN)
        ):
            return
        state.status = entry.status
        state.answer = entry.answer

    def _in_window(self, key_time_ms: int, time_ms: int) -> bool:
        # The append time in the log is compared, not the reader's clock, so
        # that all readers agree.
        ahead_ms = (KEY_AHEAD_SECONDS + CLOCK_MARGIN_SECONDS) * 1000
        return time_ms - self._window_ms <= key_time_ms <= time_ms + ahead_ms

    def _drop_expired(self, time_ms: int) -> None:
        margin_ms = int(CLOCK_MARGIN_SECONDS * 1000)
        oldest_ms = time_ms - self._window_ms - margin_ms
        while self._states:
            key, state = next(iter(self._states.items()))
            if state.key_time_ms >= oldest_ms:
                return
            del self._states[key]
