"""Claims idempotency keys in the log, in batches per partition.

Each partition has a few batcher nodes in a data centre. Other nodes send their
claims to one of them; if it does not answer, they append to the log themselves.
The module owns the partitions' batchers and ledgers at this node.
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
"""Number of streams over which claims are distributed by key."""

_BATCHERS = 2
_LONG_POLL_SECONDS = 5.0
_ASK_TIMEOUT_SECONDS = 1.0
_CLAIM_TIMEOUT_SECONDS = 4.0
_LOG_RETRY_SECONDS = 0.3
_PAGE_RECORDS = 500
_BATCH_POLL_SECONDS = 0.02
_OUTAGE_FAILURES = 2
_MAX_PEER_CLAIMS = 20_000

Send = Callable[[ids.NodeId, messages.AnyMessage], Awaitable[None]]


class _Partition:
    """Batcher of one partition at this node.

    Attributes:
        number: Number of the partition.
        stream: Name of its stream.
        batcher: Batches of entries and the ledger of decided claims.
        caught_up: Whether the ledger has reached the end of the stream.
        queued: Event that is set when entries wait for an append.
        failures: Consecutive failed reads of the log.
        tasks: Tasks that read and append.
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
    def log_unreachable(self) -> bool:
        """Whether several reads in a row failed, not just a single one."""
        return self.failures >= _OUTAGE_FAILURES


class ClaimResult(msgspec.Struct, frozen=True):
    """Result of a claim.

    Attributes:
        answer: The decision, or None if it did not arrive in time.
        in_doubt: Whether the claim may be in the log without a decision known
            to this node. If its request is refused, it must be withdrawn.
    """

    answer: messages.ClaimAnswer | None
    in_doubt: bool


class ClaimService:
    """Decides claims by their order in the log.

    Attributes:
        node: Name of this node.
        window_seconds: Claim window. It is fixed while the process runs: a
            ledger that has ignored a claim as too old must not accept a later
            one because the window has grown.
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
        self._answer_queues: dict[ids.AttemptId, curio.Queue] = {}
        # Claims of other nodes that this node batches.
        self._peer_claims: dict[ids.AttemptId, ids.NodeId] = {}

    def known_state(self, key: ids.KeyHash) -> claims.ClaimState | None:
        """Returns a key's state in this node's ledger, or None."""
        partition = self._partitions.get(claims.partition(key, PARTITIONS))
        return partition.batcher.ledger.state(key) if partition else None

    async def claim(self, entry: messages.ClaimEntry) -> ClaimResult:
        """Claims a key.

        Args:
            entry: The claim.

        Returns:
            The decision, if it arrives in time, and whether the claim may be
            in the log.
        """
        answers: curio.Queue = curio.Queue()
        self._answer_queues[entry.attempt] = answers
        started = clock.now()
        try:
            for tries, batcher in enumerate(self._batchers(entry.key)):
                remaining = started + _CLAIM_TIMEOUT_SECONDS - clock.now()
                if remaining <= 0:
                    break
                answer = await self._ask(
                    batcher,
                    entry,
                    answers,
                    min(remaining, _ASK_TIMEOUT_SECONDS),
                )
                if answer is not None:
                    # The claim of an earlier, unanswered try may be in the log.
                    in_doubt = tries > 0 or claims.must_withdraw(answer)
                    return ClaimResult(answer, in_doubt)
            return ClaimResult(None, True)
        finally:
            del self._answer_queues[entry.attempt]

    async def withdraw(self, key: ids.KeyHash, attempt: ids.AttemptId) -> None:
        """Withdraws a claim that will never run.

        The withdrawal stays queued while the log is unreachable.
        """
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
        """Records the outcome of a claimed request.

        The record stays queued while the log is unreachable.
        """
        partition = await self._partition(key)
        partition.batcher.record_outcome(
            key, attempt, status, answer, clock.now()
        )
        await partition.queued.set()

    async def receive_claim(
        self, sender: ids.NodeId, message: messages.ClaimAsk
    ) -> None:
        """Queues the claim of another node, or refuses it during an outage."""
        partition = await self._partition(message.entry.key)
        if partition.log_unreachable:
            await self._send(sender, claim_batches.refusal(message.entry))
            return
        self._peer_claims[message.entry.attempt] = sender
        # Claims whose holders have given up are never answered, so old entries
        # are dropped.
        while len(self._peer_claims) > _MAX_PEER_CLAIMS:
            del self._peer_claims[next(iter(self._peer_claims))]
        await self._submit(partition, message.entry)

    async def receive_answer(self, message: messages.ClaimAnswer) -> bool:
        """Delivers another node's answer to a claim of this node.

        Returns:
            Whether a claim was waiting for the answer.
        """
        queue = self._answer_queues.get(message.attempt)
        if queue is None:
            return False
        await queue.put(message)
        return True

    async def wait_for_appends(self, timeout: float = 5.0) -> None:
        """Waits until outcomes and withdrawals are in the log, or a timeout."""
        end = clock.now() + timeout
        while clock.now() < end and any(
            partition.batcher.busy for partition in self._partitions.values()
        ):
            await curio.sleep(_BATCH_POLL_SECONDS)

    def _batchers(self, key: ids.KeyHash) -> list[ids.NodeId]:
        """Returns the node to ask in each try: a batcher, then this node."""
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
            if partition.log_unreachable:
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
        """Waits until the ledger reaches the stream's end, or a timeout."""
        async with curio.ignore_after(_ASK_TIMEOUT_SECONDS):
            while not partition.caught_up:
                await curio.sleep(_BATCH_POLL_SECONDS)

    async def _deliver(self, answers: list[messages.ClaimAnswer]) -> None:
        for answer in answers:
            queue = self._answer_queues.get(answer.attempt)
            if queue is not None:
                await queue.put(answer)
            sender = self._peer_claims.pop(answer.attempt, None)
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
        """Reads one page; records that both tasks read are folded once.

        Raises:
            LogError: The log service is unreachable.
        """
        page = await self._log.read(
            partition.stream,
            partition.batcher.ledger.next_offset,
            wait=wait,
            limit=_PAGE_RECORDS,
        )
        records = [msgspec.structs.asdict(item) for item in page.records]
        # More records may follow a full page.
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
                await self._read_back(partition)

    async def _read_back(self, partition: _Partition) -> None:
        """Reads the stream at once after an append whose outcome is unknown.

        The task that follows the stream may be in a long poll that lasts longer
        than the claims wait.
        """
        try:
            await self._read(partition, 0.0)
        except log_service.LogError:
            # The task that follows the stream notices the same outage and
            # refuses the waiting claims.
            return
