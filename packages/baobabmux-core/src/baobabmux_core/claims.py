"""Claims on the keys of non-idempotent requests, kept in the log.

A key is claimed in the log before its request is dispatched. The state of a
key is a fold over the records of its partition's stream `claims-NN`, so all
readers agree on the winner. Each attempt has one chance: its first record
settles it, so repeated and reordered records change nothing.

Correctness rests on the log's retention being longer than the claim window
plus the margins below: a reader that starts at the oldest kept record then
knows every record of each key that is still within the window.
"""

import collections
import enum
import sys
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from baobabmux_core import ids, messages, rendezvous, states

KEY_AHEAD_SECONDS = 300.0
"""How far the time in a key may be ahead of a clock."""

CLOCK_MARGIN_SECONDS = 300.0
"""Greatest difference between the clocks of the nodes and the log."""

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

_CLAIM, _WITHDRAW, _OUTCOME = "c", "w", "o"


class Claim(msgspec.Struct, frozen=True, array_like=True, tag=_CLAIM):
    """Entry of a record: an attempt wants the key."""

    key: ids.KeyHash
    attempt: ids.AttemptId
    holder: ids.NodeId
    body: ids.ContentDigest
    key_time_ms: int


class Withdrawal(msgspec.Struct, frozen=True, array_like=True, tag=_WITHDRAW):
    """Entry of a record: an attempt will never run."""

    key: ids.KeyHash
    attempt: ids.AttemptId


class Outcome(msgspec.Struct, frozen=True, array_like=True, tag=_OUTCOME):
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
    """Record of the stream; entries are checked one by one."""

    batcher: str
    entries: list[Any]


class ClaimState(msgspec.Struct, gc=False):
    """State of one key.

    Attributes:
        winner: Attempt that holds the key, or None while it is open.
        holder: Node of the winner.
        body: Digest of the winner's body.
        key_time_ms: Time in the key, in Unix milliseconds.
        status: `RUNNING` until an outcome is recorded.
        answer: Digest of the recorded answer, or 0.
        settled: Attempts that lost or were withdrawn.
    """

    winner: ids.AttemptId | None
    holder: ids.NodeId
    body: ids.ContentDigest
    key_time_ms: int
    status: states.RunStatus = states.RunStatus.RUNNING
    answer: ids.ContentDigest = ids.ContentDigest(0)
    settled: tuple[ids.AttemptId, ...] = ()


class ClaimVerdict(enum.Enum):
    """What a decided claim means for the request that asked."""

    WON = "won"
    STILL_RUNNING = "still_running"
    DONE = "done"
    UNKNOWN = "unknown"
    KEY_REUSED = "key_reused"
    KEY_EXPIRED = "key_expired"
    UNAVAILABLE = "unavailable"


def judge(
    answer: messages.ClaimAnswer,
    entry: messages.ClaimEntry,
    alive: Callable[[ids.NodeId], bool],
) -> ClaimVerdict:
    """Tells what an answer means for the claim that it answers.

    Args:
        answer: Answer of a batcher.
        entry: The claim.
        alive: Tells whether a node is a live member.

    Returns:
        The verdict. After `DONE` the kept answer is at `answer.holder`, which
        may be dead.
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
    """Tells whether a refused claim may be in the log.

    A holder that refuses its request withdraws the attempt if this holds for
    an answer, or if a batcher that it asked has not answered.
    """
    refused = answer.status == states.RunStatus.NOT_RUN.value
    return refused and answer.winner == answer.attempt


def partition(key: ids.KeyHash, partitions: int) -> int:
    """Returns the number of a key's partition."""
    return key % partitions


def stream(number: int) -> str:
    """Returns the name of a partition's log stream."""
    return f"claims-{number:02}"


def batchers(
    number: int, live: Iterable[ids.NodeId], count: int
) -> list[ids.NodeId]:
    """Returns the nodes of a data centre that batch a partition's claims."""
    return rendezvous.rank(stream(number), live)[:count]


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
    """Tells whether a log's retention is long enough for a claim window."""
    margins = KEY_AHEAD_SECONDS + CLOCK_MARGIN_SECONDS
    return retention_seconds >= window_seconds + margins


class ClaimLedger:
    """Fold of one partition's stream.

    Attributes:
        next_offset: Offset of the next record to fold.
        restarts: How often records expired before they were read.
        ignored: Records and entries that were malformed or out of the window.
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

        A gap means that unread records have expired. The ledger then starts
        anew, as a new reader does: for each key within the window the log
        still has all records.

        Args:
            offset: Its offset.
            record: Its data, untrusted.
            time_ms: Unix milliseconds at which the log took it.

        Returns:
            The well-formed entries of the record.
        """
        if offset < self.next_offset:
            return []
        if offset > self.next_offset:
            self.restart(offset)
        self.next_offset = offset + 1
        self._drop_expired(time_ms)
        entries = self._entries(record)
        for entry in entries:
            self._fold(entry, time_ms)
        return entries

    def restart(self, first: int) -> None:
        """Starts anew at the oldest offset that the log still keeps."""
        # A stream that is read for the first time has lost nothing that
        # this reader knew, but counts as a restart all the same.
        self.next_offset = first
        self.restarts += 1
        self._states.clear()

    def state(self, key: ids.KeyHash) -> ClaimState | None:
        """Returns the state of a key that an attempt holds, or None."""
        state = self._states.get(key)
        return state if state is not None and state.winner else None

    def settled(self, key: ids.KeyHash, attempt: ids.AttemptId) -> bool:
        """Tells whether an attempt has lost or was withdrawn."""
        state = self._states.get(key)
        return state is not None and attempt in state.settled

    def _entries(self, record: Any) -> list[Entry]:
        try:
            taken = msgspec.convert(record, _Record)
        except (msgspec.ValidationError, RecursionError, OverflowError):
            self.ignored += 1
            return []
        entries = []
        for item in taken.entries:
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
                # One copy for all keys of a node.
                sys.intern(claim.holder),
                claim.body,
                claim.key_time_ms,
            )
        elif claim.attempt in state.settled or claim.attempt == state.winner:
            return
        elif state.winner is not None:
            state.settled += (claim.attempt,)
        else:
            state.winner = claim.attempt
            state.holder = claim.holder
            state.body = claim.body

    def _fold_withdrawal(self, entry: Withdrawal, time_ms: int) -> None:
        state = self._states.get(entry.key)
        if state is None:
            # A withdrawal may overtake its claim, which a paused batcher
            # still holds. It is kept as long as any such claim is valid.
            ahead_ms = int((KEY_AHEAD_SECONDS + CLOCK_MARGIN_SECONDS) * 1000)
            self._states[entry.key] = ClaimState(
                None,
                ids.NodeId(""),
                ids.ContentDigest(0),
                time_ms + ahead_ms,
                settled=(entry.attempt,),
            )
            return
        if state.winner == entry.attempt:
            if state.status is not states.RunStatus.RUNNING:
                return
            state.winner = None
        if entry.attempt not in state.settled:
            state.settled += (entry.attempt,)

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
        # The log's time decides, so that all readers agree.
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


class _Pending(msgspec.Struct):
    """A claim that is not decided.

    Attributes:
        claim: Entry for the record.
        asked: Time of the last ask in seconds.
        appended: Whether it may be in the log.
    """

    claim: Claim
    asked: float
    appended: bool = False


class ClaimBatcher:
    """Appends the claims of many holders to one partition's stream.

    The driver reads the stream from `ledger.next_offset` and passes the
    records to `read`, also when there are none. It appends the record that
    `next_batch` returns, of which there is none before the stream was read to
    its end once, and reports its fate to `appended`. Several batchers may
    serve a partition, and the same claim may be asked of each of them.

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
        self.ledger = ClaimLedger(window_seconds)
        self.appends = 0
        self._batch_entries = batch_entries
        self._interval = interval_seconds
        self._next_start = float("-inf")
        self._pending: dict[ids.AttemptId, _Pending] = {}
        # Claims that wait for an append. Those that are no longer pending
        # are skipped when their turn comes.
        self._claims: collections.deque[Claim] = collections.deque()
        # Withdrawals and outcomes that wait for an append. After an outage
        # there may be many, so claims go first.
        self._kept: collections.deque[Withdrawal | Outcome] = (
            collections.deque()
        )
        self._restarts = 0
        self._refusals: list[messages.ClaimAnswer] = []
        self._caught_up = False
        # Entries of the append in flight, and of one of unknown fate.
        self._in_flight: list[Entry] | None = None
        self._unresolved: list[Entry] = []

    def ask(
        self, entry: messages.ClaimEntry, now: float
    ) -> list[messages.ClaimAnswer]:
        """Takes a claim; a repeated ask keeps the first one alive.

        Returns:
            The answer, if it can be given at once; a key that is held needs
            no append.
        """
        claim = Claim(
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
            self.ledger.settled(claim.key, claim.attempt)
            or len(self._pending) >= _MAX_PENDING
        ):
            return [_refusal(claim, appended=False)]
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
        self._keep(Withdrawal(key, attempt))

    def record_outcome(
        self,
        key: ids.KeyHash,
        attempt: ids.AttemptId,
        status: states.RunStatus,
        answer: ids.ContentDigest,
        now: float,
    ) -> None:
        """Records how the winning attempt ended; kept until read back."""
        self._keep(Outcome(key, attempt, status, answer))

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

    def appended(self, offset: int | None, now: float) -> None:
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

    def failed(self, now: float) -> list[messages.ClaimAnswer]:
        """Gives up all undecided claims, because the log is out of reach.

        An append in flight counts as one of unknown fate; the driver has
        ended it.

        Returns:
            Refusals ("not run") of all undecided claims. Their holders
            withdraw them, since some may be in the log.
        """
        if self._in_flight is not None:
            self.appended(None, now)
        self._refuse(list(self._pending))
        self._claims.clear()
        return self._take_refusals()

    def _keep(self, entry: Withdrawal | Outcome) -> None:
        self._kept.append(entry)
        if len(self._kept) > _MAX_KEPT_ENTRIES:
            self._kept.popleft()

    def _take_batch(self) -> list[Entry]:
        batch: list[Entry] = []
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
            if isinstance(entry, Claim) and entry.attempt in self._pending:
                claim = self._pending.pop(entry.attempt).claim
                answers.append(self._answer(claim))
        return answers

    def _retry_unresolved(self) -> None:
        unresolved, self._unresolved = self._unresolved, []
        for entry in reversed(unresolved):
            if not self._needed(entry):
                continue
            if isinstance(entry, Claim):
                self._claims.appendleft(entry)
            else:
                self._kept.appendleft(entry)

    def _needed(self, entry: Entry) -> bool:
        """Tells whether an entry of unknown fate must be appended again."""
        if isinstance(entry, Claim):
            return entry.attempt in self._pending
        state = self.ledger.state(entry.key)
        if isinstance(entry, Withdrawal):
            return not self.ledger.settled(entry.key, entry.attempt)
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
            self._refusals.append(_refusal(pending.claim, pending.appended))

    def _take_refusals(self) -> list[messages.ClaimAnswer]:
        refusals, self._refusals = self._refusals, []
        return refusals

    def _answer(self, claim: Claim) -> messages.ClaimAnswer:
        state = self.ledger.state(claim.key)
        if state is None:
            if self.ledger.settled(claim.key, claim.attempt):
                return _refusal(claim, appended=False)
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


def _refusal(claim: Claim, appended: bool) -> messages.ClaimAnswer:
    return messages.ClaimAnswer(
        claim.key,
        claim.attempt,
        claim.attempt if appended else ids.AttemptId(""),
        ids.NodeId(""),
        states.RunStatus.NOT_RUN.value,
        claim.body,
    )
