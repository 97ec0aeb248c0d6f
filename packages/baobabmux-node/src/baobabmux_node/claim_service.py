"""Claims on the log: batches of this node and of its peers.

Each partition has a few batching nodes in a data centre. Other nodes send
their claims to one of them; when it does not answer, they append themselves.
"""

from collections.abc import Awaitable, Callable

import curio
import msgspec

from baobabmux_core import (
    claim_batches,
    claims,
    ids,
    membership,
    messages,
    states,
)
from baobabmux_node import clock, log_service

PARTITIONS = 4
"""Streams that claims are spread over, by key."""

_BATCHERS = 2
_LONG_POLL_SECONDS = 5.0
_ASK_REPEAT_SECONDS = 1.0
_CLAIM_TIMEOUT_SECONDS = 4.0
_LOG_RETRY_SECONDS = 0.3
_PAGE_RECORDS = 500
_BATCH_POLL_SECONDS = 0.02
_FAILURES_OF_OUTAGE = 2
_MAX_ASKED = 20_000

Send = Callable[[ids.NodeId, messages.AnyMessage], Awaitable[None]]


class _Partition:
    """Batcher of one partition at this node.

    Attributes:
        number: Number of the partition.
        stream: Name of its stream.
        batcher: Its decisions.
        caught_up: Whether the ledger has reached the end of the stream.
        queued: Set when entries wait for an append.
        failures: Reads of the log that failed in a row.
        tasks: Running tasks.
    """

    def __init__(self, number: int, node: ids.NodeId, window_seconds: float):
        self.number = number
        self.stream = claims.stream(number)
        self.batcher = claim_batches.ClaimBatcher(node, window_seconds)
        self.caught_up = False
        self.queued = curio.Event()
        self.failures = 0
        self.tasks: list[curio.Task] = []

    @property
    def out_of_reach(self) -> bool:
        """Whether the log is out of reach, not just a single answer."""
        return self.failures >= _FAILURES_OF_OUTAGE


class ClaimResult(msgspec.Struct, frozen=True):
    """What became of a claim.

    Attributes:
        answer: The decision, or None if there was none in time.
        in_doubt: Whether the claim may be in the log without a decision that
            is known here. If its request is refused it must be withdrawn.
    """

    answer: messages.ClaimAnswer | None
    in_doubt: bool


class ClaimService:
    """Decides claims by the log's order.

    Attributes:
        node: Name of this node.
        window_seconds: Claim window. It is fixed while the process runs: a
            ledger that had ignored a claim as too old must not take a later
            one after the window has grown.
    """

    def __init__(
        self,
        node: ids.NodeId,
        data_centre: ids.DataCentre,
        log: log_service.LogService,
        members: membership.Membership,
        send: Send,
        window_seconds: float,
    ):
        self.node = node
        self.window_seconds = window_seconds
        self._data_centre = data_centre
        self._log = log
        self._members = members
        self._send = send
        self._partitions: dict[int, _Partition] = {}
        # Claims of this node's requests that wait for an answer.
        self._waiting: dict[ids.AttemptId, curio.Queue] = {}
        # Claims of other nodes that this node batches.
        self._asked: dict[ids.AttemptId, ids.NodeId] = {}

    def known(self, key: ids.KeyHash) -> claims.ClaimState | None:
        """Returns the state of a key as far as this node has read it."""
        partition = self._partitions.get(claims.partition(key, PARTITIONS))
        return partition.batcher.ledger.state(key) if partition else None

    async def claim(self, entry: messages.ClaimEntry) -> ClaimResult:
        """Claims a key.

        Args:
            entry: The claim.

        Returns:
            The decision, if there is one in time.
        """
        answers: curio.Queue = curio.Queue()
        self._waiting[entry.attempt] = answers
        started = clock.now()
        try:
            for tries, batcher in enumerate(self._batchers(entry.key)):
                left = started + _CLAIM_TIMEOUT_SECONDS - clock.now()
                if left <= 0:
                    break
                answer = await self._ask(
                    batcher, entry, answers, min(left, _ASK_REPEAT_SECONDS)
                )
                if answer is not None:
                    # An earlier ask that got no answer may be in the log.
                    in_doubt = tries > 0 or claims.must_withdraw(answer)
                    return ClaimResult(answer, in_doubt)
            return ClaimResult(None, True)
        finally:
            del self._waiting[entry.attempt]

    async def withdraw(self, key: ids.KeyHash, attempt: ids.AttemptId) -> None:
        """Withdraws a claim that will never run; kept through an outage."""
        partition = await self._partition(key)
        partition.batcher.withdraw(key, attempt, clock.now())
        await partition.queued.set()

    async def record_outcome(
        self,
        key: ids.KeyHash,
        attempt: ids.AttemptId,
        status: states.RunStatus,
        answer: ids.ContentDigest,
    ) -> None:
        """Records how a claimed request ended; kept through an outage."""
        partition = await self._partition(key)
        partition.batcher.record_outcome(
            key, attempt, status, answer, clock.now()
        )
        await partition.queued.set()

    async def asked(
        self, sender: ids.NodeId, message: messages.ClaimAsk
    ) -> None:
        """Takes a claim of another node."""
        partition = await self._partition(message.entry.key)
        if partition.out_of_reach:
            await self._send(sender, claim_batches.refusal(message.entry))
            return
        self._asked[message.entry.attempt] = sender
        # Claims that their holders gave up are never answered.
        while len(self._asked) > _MAX_ASKED:
            del self._asked[next(iter(self._asked))]
        await self._submit(partition, message.entry)

    async def answered(self, message: messages.ClaimAnswer) -> bool:
        """Takes another node's answer to a claim of this node.

        Returns:
            Whether a claim waits for it.
        """
        waiting = self._waiting.get(message.attempt)
        if waiting is None:
            return False
        await waiting.put(message)
        return True

    async def settle(self, timeout: float = 5.0) -> None:
        """Waits until outcomes and withdrawals are in the log."""
        end = clock.now() + timeout
        while clock.now() < end and any(
            partition.batcher.busy for partition in self._partitions.values()
        ):
            await curio.sleep(_BATCH_POLL_SECONDS)

    def _batchers(self, key: ids.KeyHash) -> list[ids.NodeId]:
        """Returns whom to ask, in order; this node is the last resort."""
        number = claims.partition(key, PARTITIONS)
        live = self._members.live(self._data_centre)
        ranked = claim_batches.batchers(number, live, _BATCHERS)
        if self.node in ranked:
            return [self.node] * 4
        return [*ranked[:1], self.node, self.node, self.node]

    async def _ask(
        self,
        batcher: ids.NodeId,
        entry: messages.ClaimEntry,
        answers: curio.Queue,
        seconds: float,
    ) -> messages.ClaimAnswer | None:
        if batcher == self.node:
            partition = await self._partition(entry.key)
            if partition.out_of_reach:
                return claim_batches.refusal(entry)
            await self._submit(partition, entry)
        else:
            await self._send(batcher, messages.ClaimAsk(entry))
        async with curio.ignore_after(seconds):
            return await answers.get()
        return None

    async def _submit(
        self, partition: _Partition, entry: messages.ClaimEntry
    ) -> None:
        if not partition.caught_up:
            await self._catch_up(partition)
        answers = partition.batcher.ask(entry, clock.now())
        await partition.queued.set()
        await self._deliver(answers)

    async def _catch_up(self, partition: _Partition) -> None:
        """Waits a bounded time for the ledger to reach the stream's end."""
        async with curio.ignore_after(_ASK_REPEAT_SECONDS):
            while not partition.caught_up:
                await curio.sleep(_BATCH_POLL_SECONDS)

    async def _deliver(self, answers: list[messages.ClaimAnswer]) -> None:
        for answer in answers:
            waiting = self._waiting.get(answer.attempt)
            if waiting is not None:
                await waiting.put(answer)
            sender = self._asked.pop(answer.attempt, None)
            if sender is not None:
                await self._send(sender, answer)

    async def _partition(self, key: ids.KeyHash) -> _Partition:
        number = claims.partition(key, PARTITIONS)
        partition = self._partitions.get(number)
        if partition is None:
            partition = _Partition(number, self.node, self.window_seconds)
            self._partitions[number] = partition
        if not partition.tasks:
            for job in (self._follow, self._append):
                partition.tasks.append(
                    await curio.spawn(job, partition, daemon=True)
                )
        return partition

    async def _follow(self, partition: _Partition) -> None:
        """Reads the stream while the partition is in use."""
        while True:
            wait = _LONG_POLL_SECONDS if partition.caught_up else 0.0
            try:
                await self._read(partition, wait)
            except log_service.LogError:
                partition.caught_up = False
                partition.failures += 1
                answers = partition.batcher.refuse_pending(clock.now())
                await self._deliver(answers)
                await curio.sleep(_LOG_RETRY_SECONDS)

    async def _read(self, partition: _Partition, wait: float) -> None:
        """Reads one page; pages that two tasks read are folded once.

        Raises:
            LogError: The log service is out of reach.
        """
        page = await self._log.read(
            partition.stream,
            partition.batcher.ledger.next_offset,
            wait=wait,
            limit=_PAGE_RECORDS,
        )
        records = [msgspec.structs.asdict(item) for item in page.records]
        # A full page says nothing about the end of the stream.
        end = page.next if len(records) < _PAGE_RECORDS else None
        answers = partition.batcher.read(records, clock.now(), end, page.first)
        partition.caught_up = end is not None
        partition.failures = 0
        await self._deliver(answers)

    async def _append(self, partition: _Partition) -> None:
        """Appends batches while the partition is in use."""
        batcher = partition.batcher
        while True:
            record = batcher.next_batch(clock.now())
            if record is None:
                if batcher.busy:
                    await curio.sleep(_BATCH_POLL_SECONDS)
                else:
                    await partition.queued.wait()
                    partition.queued.clear()
                continue
            try:
                offset = await self._log.append(partition.stream, record)
            except log_service.LogError:
                offset = None
                await curio.sleep(_LOG_RETRY_SECONDS)
            batcher.append_finished(offset, clock.now())
            if offset is None:
                await self._resolve(partition)

    async def _resolve(self, partition: _Partition) -> None:
        """Reads back at once after an append of unknown fate.

        The follower may be in a long poll that outlasts the claims' wait.
        """
        try:
            await self._read(partition, 0.0)
        except log_service.LogError:
            # The follower meets the same outage and refuses what waits.
            return
