"""Batching of claims: many holders' claims in one append to the log.

A `ClaimBatcher` owns the ledger of one partition and the queues of the entries
that wait to be appended to the partition's stream.
"""

import collections
from collections.abc import Iterable
from typing import Any

import msgspec

from baobabmux_core import claims, ids, messages, rendezvous, states

MAX_BATCH_ENTRIES = 200
"""Maximum number of entries in one record, about 20 KB of JSON."""

BATCH_INTERVAL_SECONDS = 0.1
"""Shortest time between the starts of two appends of one batcher."""

# A holder repeats its ask every second. If no ask arrives for this long, the
# holder has given up the attempt and its claim must not be appended any more.
_ASK_TIMEOUT_SECONDS = 5.0

# Withdrawals and outcomes kept during an outage. The oldest are dropped first;
# their keys stay "still running" or "unknown" until they expire, which is safe.
_MAX_QUEUED_UPDATES = 50_000

# Further claims are refused at once, so that an outage of the log cannot fill
# the memory of a batcher.
_MAX_PENDING_CLAIMS = 20_000


def batchers(
    number: int, live: Iterable[ids.NodeId], count: int
) -> list[ids.NodeId]:
    """Returns the nodes that batch a partition's claims.

    Args:
        number: Number of the partition.
        live: Live nodes of a data centre.
        count: Maximum number of batching nodes.
    """
    return rendezvous.rank(claims.stream(number), live)[:count]


def appends_per_second(
    entries_per_second: float,
    batcher_count: int,
    batch_entries: int = MAX_BATCH_ENTRIES,
    interval_seconds: float = BATCH_INTERVAL_SECONDS,
) -> float:
    """Returns the appends per second that the claims of all nodes need.

    Args:
        entries_per_second: Claims and outcomes per second, over all nodes.
        batcher_count: Batching nodes over all partitions and data centres.
        batch_entries: Maximum number of entries in one append.
        interval_seconds: Shortest time between two appends of a batcher.
    """
    entries_per_batcher = entries_per_second / batcher_count
    interval_appends = min(entries_per_batcher, 1 / interval_seconds)
    return batcher_count * max(
        interval_appends, entries_per_batcher / batch_entries
    )


class _Pending(msgspec.Struct):
    """A claim that is not decided yet.

    Attributes:
        claim: Entry to append.
        last_asked_at: Time of the latest ask in seconds.
        appended: Whether it may be in the log.
    """

    claim: claims.Claim
    last_asked_at: float
    appended: bool = False


class ClaimBatcher:
    """Appends the claims of many holders to one partition's stream.

    The driver reads the stream from `ledger.next_offset` and passes the
    records to `read`, even if there are none. It appends the record that
    `next_batch` returns and reports the result of the append to
    `append_finished`. Until the stream was read to its end once, `next_batch`
    returns no record. Several batchers may serve a partition, and the same
    claim may be sent to each of them.

    A claim is decided only by reading it back from the log. A batcher never
    withdraws a claim on its own initiative, since another batcher may already
    have answered the holder that its attempt won. The holder withdraws the
    attempt after it has refused the request.

    Attributes:
        node: Name of the batching node, written into the records.
        ledger: Fold of the stream.
        appends: Number of appends started.
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
        self._interval_seconds = interval_seconds
        self._next_append_at = float("-inf")
        self._pending: dict[ids.AttemptId, _Pending] = {}
        # Claims that wait for an append. Those that are no longer pending
        # are skipped when a batch is taken.
        self._claim_queue: collections.deque[claims.Claim] = collections.deque()
        # Withdrawals and outcomes that wait for an append. After an outage
        # there may be many, so claims go first.
        self._update_queue: collections.deque[
            claims.Withdrawal | claims.Outcome
        ] = collections.deque()
        self._handled_restarts = 0
        self._refusals: list[messages.ClaimAnswer] = []
        self._caught_up = False
        # Entries of the append in flight, and of an append whose result is
        # unknown.
        self._in_flight: list[claims.Entry] | None = None
        self._unresolved: list[claims.Entry] = []

    def ask(
        self, entry: messages.ClaimEntry, now: float
    ) -> list[messages.ClaimAnswer]:
        """Accepts a claim; a repeated ask keeps a pending claim alive.

        Returns:
            The answer, if it is known at once: no append is needed if the key
            is held already or the claim is refused.
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
            pending.last_asked_at = now
            return []
        if (
            self.ledger.is_excluded(claim.key, claim.attempt)
            or len(self._pending) >= _MAX_PENDING_CLAIMS
        ):
            return [refusal(claim)]
        self._pending[claim.attempt] = _Pending(claim, now)
        self._claim_queue.append(claim)
        return []

    def withdraw(
        self, key: ids.KeyHash, attempt: ids.AttemptId, now: float
    ) -> None:
        """Withdraws an attempt that its holder will never dispatch.

        The withdrawal is kept during an outage of the log. If the result of
        its append is unknown, it is appended again until it is read back.
        """
        self._pending.pop(attempt, None)
        self._queue_update(claims.Withdrawal(key, attempt))

    def record_outcome(
        self,
        key: ids.KeyHash,
        attempt: ids.AttemptId,
        status: states.RunStatus,
        answer: ids.ContentDigest,
        now: float,
    ) -> None:
        """Records how the winning attempt ended.

        The entry is kept and appended again in the same way as a withdrawal.
        """
        self._queue_update(claims.Outcome(key, attempt, status, answer))

    @property
    def busy(self) -> bool:
        """Whether an entry waits to be appended or read back."""
        return bool(
            self._claim_queue
            or self._update_queue
            or self._in_flight is not None
            or self._unresolved
        )

    def next_batch(self, now: float) -> dict[str, Any] | None:
        """Returns the next record to append, or None.

        A full batch does not wait for the interval, but only one append is in
        flight at a time.
        """
        self._refuse_abandoned(now)
        if (
            not self._caught_up
            or self._in_flight is not None
            or self._unresolved
        ):
            return None
        waiting = len(self._claim_queue) + len(self._update_queue)
        full = waiting >= self._batch_entries
        if now < self._next_append_at and not full:
            return None
        batch = self._take_batch()
        if not batch:
            return None
        self._in_flight = batch
        self._next_append_at = now + self._interval_seconds
        self.appends += 1
        return {
            "type": "claims",
            "batcher": self.node,
            "entries": [msgspec.to_builtins(item) for item in self._in_flight],
        }

    def append_finished(self, offset: int | None, now: float) -> None:
        """Handles the result of the append in flight.

        Args:
            offset: Offset of the record, or None if the result is unknown. The
                stream is then read before anything else is appended.
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
        """Folds records that were read from the stream.

        Args:
            records: Records with `offset`, `time_ms` and `data`, in order.
            now: Time in seconds.
            end: Offset after the last record of the stream, if known. An
                append whose result is unknown is repeated once all records up
                to this offset were read without finding it.
            first: Oldest offset that the stream still retains, if known. It
                reveals a gap even if no record is left to read.

        Returns:
            Answers to the claims that these records decide.
        """
        if first is not None and first > self.ledger.next_offset:
            self.ledger.restart(first)
        self._refuse_after_gap()
        answers = self._take_refusals()
        for record in records:
            answers.extend(self._read_record(record))
        if end is None or self.ledger.next_offset >= end:
            self._caught_up = True
            self._requeue_unresolved()
        return answers

    def refuse_pending(self, now: float) -> list[messages.ClaimAnswer]:
        """Refuses all undecided claims because the log is unreachable.

        The result of an append in flight counts as unknown, even if the driver
        reports it later.

        Returns:
            Refusals ("not run") of all undecided claims. Their holders
            withdraw them, since some may be in the log.
        """
        if self._in_flight is not None:
            self.append_finished(None, now)
        self._refuse(list(self._pending))
        self._claim_queue.clear()
        return self._take_refusals()

    def _queue_update(self, entry: claims.Withdrawal | claims.Outcome) -> None:
        self._update_queue.append(entry)
        if len(self._update_queue) > _MAX_QUEUED_UPDATES:
            self._update_queue.popleft()

    def _take_batch(self) -> list[claims.Entry]:
        batch: list[claims.Entry] = []
        while self._claim_queue and len(batch) < self._batch_entries:
            claim = self._claim_queue.popleft()
            pending = self._pending.get(claim.attempt)
            if pending is not None:
                pending.appended = True
                batch.append(claim)
        while self._update_queue and len(batch) < self._batch_entries:
            batch.append(self._update_queue.popleft())
        return batch

    def _read_record(
        self, record: dict[str, Any]
    ) -> list[messages.ClaimAnswer]:
        entries = self.ledger.apply(
            record["offset"], record["data"], record["time_ms"]
        )
        self._refuse_after_gap()
        answers = self._take_refusals()
        for entry in entries:
            if (
                isinstance(entry, claims.Claim)
                and entry.attempt in self._pending
            ):
                claim = self._pending.pop(entry.attempt).claim
                answers.append(self._answer(claim))
        return answers

    def _requeue_unresolved(self) -> None:
        unresolved, self._unresolved = self._unresolved, []
        for entry in reversed(unresolved):
            if not self._must_repeat(entry):
                continue
            if isinstance(entry, claims.Claim):
                self._claim_queue.appendleft(entry)
            else:
                self._update_queue.appendleft(entry)

    def _must_repeat(self, entry: claims.Entry) -> bool:
        """Returns whether an unresolved entry must be appended again."""
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

    def _refuse_after_gap(self) -> None:
        """Refuses claims that expired, unread records may have decided."""
        if self.ledger.restarts == self._handled_restarts:
            return
        self._handled_restarts = self.ledger.restarts
        self._refuse(
            [
                attempt
                for attempt, pending in self._pending.items()
                if pending.appended
            ]
        )

    def _refuse_abandoned(self, now: float) -> None:
        self._refuse(
            [
                attempt
                for attempt, pending in self._pending.items()
                if now - pending.last_asked_at > _ASK_TIMEOUT_SECONDS
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
    """Returns the answer to a claim that is refused without a decision.

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
