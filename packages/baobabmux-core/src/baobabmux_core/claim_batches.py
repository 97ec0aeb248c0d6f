"""Batching of claims: many holders' claims in one append to the log."""

import collections
from collections.abc import Iterable
from typing import Any

import msgspec

from baobabmux_core import claims, ids, messages, rendezvous, states

MAX_BATCH_ENTRIES = 200
"""Entries in one record, about 20 KB of JSON."""

BATCH_INTERVAL_SECONDS = 0.1
"""Least time between the starts of two appends of one batcher."""

# A holder repeats its ask every second; one that is silent for this long has
# given the attempt up, so its claim must not be appended any more.
_ASK_SECONDS = 5.0

# Withdrawals and outcomes kept through an outage. Losing the oldest leaves
# their keys "still running" or "unknown" until they expire, which is safe.
_MAX_KEPT_ENTRIES = 50_000

# Claims beyond this are refused at once, so that an outage of the log cannot
# fill the memory of a batcher.
_MAX_PENDING = 20_000


def batchers(
    number: int, live: Iterable[ids.NodeId], count: int
) -> list[ids.NodeId]:
    """Returns the nodes of a data centre that batch a partition's claims."""
    return rendezvous.rank(claims.stream(number), live)[:count]


def appends_per_second(
    entries_per_second: float,
    batcher_count: int,
    batch_entries: int = MAX_BATCH_ENTRIES,
    interval_seconds: float = BATCH_INTERVAL_SECONDS,
) -> float:
    """Returns how many appends a second the claims of all nodes need.

    Args:
        entries_per_second: Claims and outcomes a second, over all nodes.
        batcher_count: Batching nodes over all partitions and data centres.
        batch_entries: Greatest number of entries in one append.
        interval_seconds: Least time between two appends of a batcher.
    """
    each = entries_per_second / batcher_count
    needed = min(each, 1 / interval_seconds)
    return batcher_count * max(needed, each / batch_entries)


class _Pending(msgspec.Struct):
    """A claim that is not decided.

    Attributes:
        claim: Entry for the record.
        asked: Time of the last ask in seconds.
        appended: Whether it may be in the log.
    """

    claim: claims.Claim
    asked: float
    appended: bool = False


class ClaimBatcher:
    """Appends the claims of many holders to one partition's stream.

    The driver reads the stream from `ledger.next_offset` and passes the
    records to `read`, also when there are none. It appends the record that
    `next_batch` returns, of which there is none before the stream was read to
    its end once, and reports the result of the append to `append_finished`.
    Several batchers may serve a partition, and the same claim may be sent to
    each of them.

    A claim is decided only by reading it back. A batcher never withdraws a
    claim by itself, since the holder may have been told by another batcher
    that it won; the holder withdraws the attempt after it has refused its
    request.

    Attributes:
        node: Name written into the records.
        ledger: Fold of the stream.
        appends: Appends started.
    """

    def __init__(
        self,
        node: ids.NodeId,
        window_seconds: float,
        batch_entries: int = MAX_BATCH_ENTRIES,
        interval_seconds: float = BATCH_INTERVAL_SECONDS,
    ):
        self.node = node
        self.ledger = claims.ClaimLedger(window_seconds)
        self.appends = 0
        self._batch_entries = batch_entries
        self._interval = interval_seconds
        self._next_start = float("-inf")
        self._pending: dict[ids.AttemptId, _Pending] = {}
        # Claims that wait for an append. Those that are no longer pending
        # are skipped when their turn comes.
        self._claims: collections.deque[claims.Claim] = collections.deque()
        # Withdrawals and outcomes that wait for an append. After an outage
        # there may be many, so claims go first.
        self._kept: collections.deque[claims.Withdrawal | claims.Outcome] = (
            collections.deque()
        )
        self._restarts = 0
        self._refusals: list[messages.ClaimAnswer] = []
        self._caught_up = False
        # Entries of the append in flight, and of one of unknown fate.
        self._in_flight: list[claims.Entry] | None = None
        self._unresolved: list[claims.Entry] = []

    def ask(
        self, entry: messages.ClaimEntry, now: float
    ) -> list[messages.ClaimAnswer]:
        """Takes a claim; a repeated ask keeps the first one alive.

        Returns:
            The answer, if it can be given at once; a key that is held needs
            no append.
        """
        claim = claims.Claim(
            entry.key,
            entry.attempt,
            entry.holder,
            entry.body,
            entry.key_time_ms,
        )
        if self.ledger.state(claim.key) is not None:
            self._pending.pop(claim.attempt, None)
            return [self._answer(claim)]
        pending = self._pending.get(claim.attempt)
        if pending is not None:
            pending.asked = now
            return []
        if (
            self.ledger.is_excluded(claim.key, claim.attempt)
            or len(self._pending) >= _MAX_PENDING
        ):
            return [refusal(claim)]
        self._pending[claim.attempt] = _Pending(claim, now)
        self._claims.append(claim)
        return []

    def withdraw(
        self, key: ids.KeyHash, attempt: ids.AttemptId, now: float
    ) -> None:
        """Withdraws an attempt that its holder will never dispatch.

        The withdrawal is kept until it is read back, through any outage.
        """
        self._pending.pop(attempt, None)
        self._keep(claims.Withdrawal(key, attempt))

    def record_outcome(
        self,
        key: ids.KeyHash,
        attempt: ids.AttemptId,
        status: states.RunStatus,
        answer: ids.ContentDigest,
        now: float,
    ) -> None:
        """Records how the winning attempt ended; kept until read back."""
        self._keep(claims.Outcome(key, attempt, status, answer))

    @property
    def busy(self) -> bool:
        """Whether an entry waits for its append or its read-back."""
        return bool(
            self._claims
            or self._kept
            or self._in_flight is not None
            or self._unresolved
        )

    def next_batch(self, now: float) -> dict[str, Any] | None:
        """Returns the next record to append, or None.

        A full batch need not wait for the interval, but only one append is in
        flight at a time.
        """
        self._refuse_silent(now)
        if (
            not self._caught_up
            or self._in_flight is not None
            or self._unresolved
        ):
            return None
        waiting = len(self._claims) + len(self._kept)
        full = waiting >= self._batch_entries
        if now < self._next_start and not full:
            return None
        batch = self._take_batch()
        if not batch:
            return None
        self._in_flight = batch
        self._next_start = now + self._interval
        self.appends += 1
        return {
            "type": "claims",
            "batcher": self.node,
            "entries": [msgspec.to_builtins(item) for item in self._in_flight],
        }

    def append_finished(self, offset: int | None, now: float) -> None:
        """Takes the fate of the append in flight.

        Args:
            offset: Its offset, or None if the fate is unknown. It is then
                read back before anything else is appended.
            now: Time in seconds.
        """
        if self._in_flight is None:
            return
        if offset is None:
            self._unresolved = self._in_flight
        self._in_flight = None

    def read(
        self,
        records: list[dict[str, Any]],
        now: float,
        end: int | None = None,
        first: int | None = None,
    ) -> list[messages.ClaimAnswer]:
        """Takes records read from the stream.

        Args:
            records: Records with `offset`, `time_ms` and `data`, in order.
            now: Time in seconds.
            end: Offset after the last record of the stream, if known. An
                append of unknown fate is repeated once all records up to
                there were read without finding it.
            first: Oldest offset that the stream still keeps, if known. It
                tells a gap even if no record is left to read.

        Returns:
            Answers to the claims that are decided now.
        """
        if first is not None and first > self.ledger.next_offset:
            self.ledger.restart(first)
        self._refuse_lost()
        answers = self._take_refusals()
        for record in records:
            answers.extend(self._read_one(record))
        if end is None or self.ledger.next_offset >= end:
            self._caught_up = True
            self._retry_unresolved()
        return answers

    def refuse_pending(self, now: float) -> list[messages.ClaimAnswer]:
        """Gives up all undecided claims, because the log is out of reach.

        An append in flight counts as one of unknown fate; the driver has
        ended it.

        Returns:
            Refusals ("not run") of all undecided claims. Their holders
            withdraw them, since some may be in the log.
        """
        if self._in_flight is not None:
            self.append_finished(None, now)
        self._refuse(list(self._pending))
        self._claims.clear()
        return self._take_refusals()

    def _keep(self, entry: claims.Withdrawal | claims.Outcome) -> None:
        self._kept.append(entry)
        if len(self._kept) > _MAX_KEPT_ENTRIES:
            self._kept.popleft()

    def _take_batch(self) -> list[claims.Entry]:
        batch: list[claims.Entry] = []
        while self._claims and len(batch) < self._batch_entries:
            claim = self._claims.popleft()
            pending = self._pending.get(claim.attempt)
            if pending is not None:
                pending.appended = True
                batch.append(claim)
        while self._kept and len(batch) < self._batch_entries:
            batch.append(self._kept.popleft())
        return batch

    def _read_one(self, record: dict[str, Any]) -> list[messages.ClaimAnswer]:
        entries = self.ledger.apply(
            record["offset"], record["data"], record["time_ms"]
        )
        self._refuse_lost()
        answers = self._take_refusals()
        for entry in entries:
            if (
                isinstance(entry, claims.Claim)
                and entry.attempt in self._pending
            ):
                claim = self._pending.pop(entry.attempt).claim
                answers.append(self._answer(claim))
        return answers

    def _retry_unresolved(self) -> None:
        unresolved, self._unresolved = self._unresolved, []
        for entry in reversed(unresolved):
            if not self._needed(entry):
                continue
            if isinstance(entry, claims.Claim):
                self._claims.appendleft(entry)
            else:
                self._kept.appendleft(entry)

    def _needed(self, entry: claims.Entry) -> bool:
        """Tells whether an entry of unknown fate must be appended again."""
        if isinstance(entry, claims.Claim):
            return entry.attempt in self._pending
        state = self.ledger.state(entry.key)
        if isinstance(entry, claims.Withdrawal):
            return not self.ledger.is_excluded(entry.key, entry.attempt)
        return (
            state is not None
            and state.winner == entry.attempt
            and state.status is states.RunStatus.RUNNING
        )

    def _refuse_lost(self) -> None:
        """Refuses claims that records lost to expiry may have decided."""
        if self.ledger.restarts == self._restarts:
            return
        self._restarts = self.ledger.restarts
        self._refuse(
            [
                attempt
                for attempt, pending in self._pending.items()
                if pending.appended
            ]
        )

    def _refuse_silent(self, now: float) -> None:
        self._refuse(
            [
                attempt
                for attempt, pending in self._pending.items()
                if now - pending.asked > _ASK_SECONDS
            ]
        )

    def _refuse(self, attempts: list[ids.AttemptId]) -> None:
        for attempt in attempts:
            pending = self._pending.pop(attempt)
            self._refusals.append(
                refusal(pending.claim, appended=pending.appended)
            )

    def _take_refusals(self) -> list[messages.ClaimAnswer]:
        refusals, self._refusals = self._refusals, []
        return refusals

    def _answer(self, claim: claims.Claim) -> messages.ClaimAnswer:
        state = self.ledger.state(claim.key)
        if state is None:
            if self.ledger.is_excluded(claim.key, claim.attempt):
                return refusal(claim)
            return messages.ClaimAnswer(
                claim.key,
                claim.attempt,
                ids.AttemptId(""),
                ids.NodeId(""),
                states.RunStatus.UNKNOWN.value,
                ids.ContentDigest(0),
            )
        return messages.ClaimAnswer(
            claim.key,
            claim.attempt,
            state.winner,
            state.holder,
            state.status.value,
            state.body,
        )


def refusal(
    claim: messages.ClaimEntry | claims.Claim, *, appended: bool = False
) -> messages.ClaimAnswer:
    """Returns the answer to a claim that is given up undecided.

    Args:
        claim: The claim.
        appended: Whether it may be in the log, so that its holder must
            withdraw it.
    """
    return messages.ClaimAnswer(
        claim.key,
        claim.attempt,
        claim.attempt if appended else ids.AttemptId(""),
        ids.NodeId(""),
        states.RunStatus.NOT_RUN.value,
        claim.body,
    )
