"""Orders to endpoints, sent by one node at a time under a lease.

Desired state and leases are folds over the log stream `orders`. A lease
belongs to a scope (a data centre); the offset of its record is the fencing
number of all orders sent under it, so the numbers only grow. The log's time
decides when a lease has ended, the holder's own clock ends it earlier.

At an endpoint that ignores fencing numbers the new holder first waits until
every order of the old lease has arrived or timed out. It then sends the
desired state and reads it back.
"""

import collections
import enum
from typing import Any

import msgspec

from baobabmux_core import declarations, ids

STREAM = "orders"

LEASE_SECONDS = 15.0

MARGIN_SECONDS = 10.0
"""Wait after an old lease at endpoints that ignore fencing numbers.

It covers an order that was started just before the lease ended: drivers end
it after `ORDER_TIMEOUT_SECONDS`. The rest covers clocks that run unequally.
"""

ORDER_TIMEOUT_SECONDS = 8.0
"""Time after which a driver closes the connection of an unanswered order."""

# A lease is renewed early enough for two lost answers to appends.
_RENEWAL_SHARE = 0.6

_RETRY_SECONDS = 2.0

# Repairs what an order that slipped past a lease may have changed.
_READ_BACK_SECONDS = 60.0


class OrderKind(enum.Enum):
    """What an order changes at an endpoint."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    SET_ROLE = "set_role"


class Desired(msgspec.Struct, frozen=True, tag="desired"):
    """Record: one part of the desired state of an endpoint.

    Attributes:
        endpoint: The endpoint.
        kind: What it sets.
        name: Name of the model, the adapter or the role.
        version: Version of the model or adapter, empty for a role.
        author: Who wants it.
    """

    endpoint: ids.EndpointId
    kind: OrderKind
    name: str
    version: str = ""
    author: str = ""

    def subject(self) -> str:
        """Returns what this sets; a later record of a subject replaces it."""
        if self.kind is OrderKind.LOAD_ADAPTER:
            return f"{self.kind.value}/{self.name}"
        return self.kind.value

    def value(self) -> str:
        """Returns the state that this sets, as endpoints report it."""
        return f"{self.name}@{self.version}" if self.version else self.name


class LeaseRecord(msgspec.Struct, frozen=True, tag="lease"):
    """Record: a node asks for a lease or renews its own.

    Attributes:
        scope: Data centre whose endpoints it wants to order.
        holder: The node.
        seconds: Duration from the log's time of the record.
        attempt: Distinguishes the records of one node.
    """

    scope: ids.DataCentre
    holder: ids.NodeId
    seconds: float
    attempt: str


class ReleaseRecord(msgspec.Struct, frozen=True, tag="release"):
    """Record: a holder ends its lease with no order outstanding.

    Attributes:
        scope: Data centre of the lease.
        holder: The node.
        fence: Fencing number of the lease; a late record ends no other one.
    """

    scope: ids.DataCentre
    holder: ids.NodeId
    fence: int


class KnownDesired(msgspec.Struct, frozen=True):
    """Entry of a snapshot: a desired record and its offset."""

    offset: int
    desired: Desired


class Snapshot(msgspec.Struct, frozen=True, tag="snapshot"):
    """Record: all desired state, for readers that start later.

    Attributes:
        through: Offset of the last record folded into it.
        entries: Desired state by subject.
    """

    through: int
    entries: list[KnownDesired]


class Order(msgspec.Struct, frozen=True):
    """An order to send to an endpoint.

    The driver calls `OrderDesk.start` immediately before the first byte.
    """

    endpoint: ids.EndpointId
    kind: OrderKind
    name: str
    version: str
    fence: int


class ReadBack(msgspec.Struct, frozen=True):
    """Read the state of an endpoint and pass it to `OrderDesk.state_read`."""

    endpoint: ids.EndpointId
    fence: int


class TokenBucket:
    """Keeps a rate limit.

    Attributes:
        rate: Tokens a second.
        burst: Most tokens that gather.
    """

    def __init__(self, rate: float, burst: float):
        self.rate = rate
        self.burst = burst
        self._tokens = 0.0
        self._at: float | None = None

    def empty(self, now: float) -> None:
        """Removes all tokens, as at the start of a new holder."""
        self._tokens, self._at = 0.0, now

    def pause(self, seconds: float, now: float) -> None:
        """Gives no token for some seconds, as the limited service asked."""
        self._tokens, self._at = 0.0, now + seconds

    def take(self, now: float) -> bool:
        """Takes a token if there is one."""
        if self._at is None:
            self._at = now
        if now > self._at:
            gained = (now - self._at) * self.rate
            self._tokens = min(self.burst, self._tokens + gained)
            self._at = now
        if self._tokens < 1 or now < self._at:
            return False
        self._tokens -= 1
        return True


class _Lease(msgspec.Struct, frozen=True):
    """Lease of a scope as the log decided it."""

    holder: ids.NodeId
    fence: int
    until_ms: int
    seconds: float
    released: bool = False


class _Work(msgspec.Struct):
    """What the present holder knows about an endpoint.

    Attributes:
        sent: Subjects whose desired value was taken under this fence.
        in_flight: Order that is under way, or None.
        reading: Read back that is under way, or None.
        not_before: Time in seconds before which nothing is sent.
        read_due: Time in seconds of the next read back.
    """

    sent: dict[str, str]
    in_flight: Order | None = None
    reading: ReadBack | None = None
    not_before: float = 0.0
    read_due: float = float("inf")


class OrderDesk:
    """Desired state, lease and orders of one scope at one node.

    Attributes:
        node: This node.
        scope: Data centre of the endpoints.
        next_offset: Offset of the next record to fold.
        fence: Fencing number of the own lease, or -1.
        lease_until: Time in seconds at which the own lease ends.
        ignored: Malformed records.
        refused: Orders that endpoints refused for a newer fence.
    """

    def __init__(
        self,
        node: ids.NodeId,
        scope: ids.DataCentre,
        bucket: TokenBucket,
        lease_seconds: float = LEASE_SECONDS,
        margin_seconds: float = MARGIN_SECONDS,
    ):
        self.node = node
        self.scope = scope
        self.next_offset = 0
        self.fence = -1
        self.lease_until = float("-inf")
        self.ignored = 0
        self.refused = 0
        self._bucket = bucket
        self._lease_seconds = lease_seconds
        self._margin = margin_seconds
        self._lease: _Lease | None = None
        self._lease_seen = float("-inf")
        self._wait_until = float("-inf")
        # Records before this offset were lost and no snapshot has replaced
        # them, or None.
        self._lost_before: int | None = None
        self._asked: dict[str, float] = {}
        self._asks = 0
        self._endpoints: dict[ids.EndpointId, declarations.Endpoint] = {}
        self._desired: dict[
            ids.EndpointId, dict[str, tuple[int, int, Desired]]
        ] = collections.defaultdict(dict)
        self._work: dict[ids.EndpointId, _Work] = {}

    def configure(
        self, endpoints: dict[ids.EndpointId, declarations.Endpoint]
    ) -> None:
        """Takes the endpoints of the configuration in force."""
        self._endpoints = {
            name: endpoint
            for name, endpoint in endpoints.items()
            if endpoint.data_centre == self.scope
        }

    def has_desired(self) -> bool:
        """Tells whether any endpoint of the scope has a desired state.

        Without one no lease is needed, which saves its renewals on the log.
        """
        return any(self._desired.get(name) for name in self._endpoints)

    def apply(self, offset: int, record: Any, time_ms: int, now: float) -> None:
        """Folds one record; records before `next_offset` are ignored.

        Args:
            offset: Its offset.
            record: Its data, untrusted.
            time_ms: Unix milliseconds at which the log took it.
            now: Time in seconds.
        """
        if offset < self.next_offset:
            return
        if offset > self.next_offset:
            # Lost records may have replaced what is known; a snapshot brings
            # it back.
            self._desired.clear()
            self._lost_before = offset
        self.next_offset = offset + 1
        try:
            taken = msgspec.convert(
                record, LeaseRecord | ReleaseRecord | Desired | Snapshot
            )
        except (msgspec.ValidationError, RecursionError, OverflowError):
            self.ignored += 1
            return
        if isinstance(taken, LeaseRecord):
            self._fold_lease(offset, taken, time_ms, now)
        elif isinstance(taken, ReleaseRecord):
            self._fold_release(taken, time_ms)
        elif isinstance(taken, Desired):
            self._fold_desired(offset, taken, time_ms)
        else:
            self._fold_snapshot(offset, taken, time_ms)

    def ask_lease(self, now: float) -> dict[str, Any] | None:
        """Returns the record to append for a new or renewed lease, or None.

        Only the node that should hold the lease calls this. The lease is held
        once its record is folded.
        """
        if self._asked and now - max(self._asked.values()) < _RETRY_SECONDS:
            return None
        held = self._lease is not None and not self._lease.released
        if held and self._lease.holder == self.node:
            left = self.lease_until - now
            if left > self._lease_seconds * _RENEWAL_SHARE:
                return None
        elif held and now < self._lease_seen + self._lease.seconds:
            return None
        self._asks += 1
        attempt = f"{self.node}/{self._asks}"
        self._asked = {
            key: at
            for key, at in self._asked.items()
            if now - at < self._lease_seconds
        }
        self._asked[attempt] = now
        return msgspec.to_builtins(
            LeaseRecord(self.scope, self.node, self._lease_seconds, attempt)
        )

    def holds_lease(self, now: float) -> bool:
        """Tells whether an order may be sent now."""
        return self.fence >= 0 and now < self.lease_until

    def release(self, now: float) -> dict[str, Any] | None:
        """Ends the own lease for a graceful shutdown.

        Returns:
            The record to append, or None if there is no lease or while an
            order may still arrive. No order is sent after it.
        """
        if not self.holds_lease(now) or any(
            work.in_flight or now < work.not_before
            for work in self._work.values()
        ):
            return None
        record = ReleaseRecord(self.scope, self.node, self.fence)
        self._stop()
        return msgspec.to_builtins(record)

    def actions(self, now: float) -> list[Order | ReadBack]:
        """Returns orders and reads that are due now."""
        if not self.holds_lease(now) or self._lost_before is not None:
            return []
        found: list[Order | ReadBack] = []
        for endpoint in self._endpoints:
            action = self._next_action(endpoint, now)
            if action is not None:
                found.append(action)
        return found

    def start(self, order: Order, now: float) -> bool:
        """Tells whether an order may be written; called just before that.

        A process that was paused since `actions` returned the order finds its
        lease ended here.
        """
        work = self._work.get(order.endpoint)
        if work is None or work.in_flight != order:
            return False
        if self.holds_lease(now):
            return True
        work.in_flight = None
        return False

    def applied(self, order: Order, now: float) -> None:
        """Takes an endpoint's acceptance of an order."""
        work = self._ended(order)
        if work is None:
            return
        desired = Desired(order.endpoint, order.kind, order.name, order.version)
        work.sent[desired.subject()] = desired.value()
        work.read_due = now

    def fence_refused(self, order: Order, now: float) -> None:
        """Takes an endpoint's refusal because of a newer fencing number.

        Another node holds the lease, so nothing more is sent under this one.
        """
        self.refused += 1
        if self._ended(order) is not None:
            self._stop()

    def failed(self, order: Order, now: float) -> None:
        """Takes an order of unknown fate.

        Nothing is sent to the endpoint until that order can no longer arrive,
        because orders of one lease carry the same number.
        """
        work = self._ended(order)
        if work is not None:
            wait_until = now + ORDER_TIMEOUT_SECONDS
            work.not_before = max(work.not_before, wait_until)

    def throttled(
        self, order: Order, retry_after_seconds: float, now: float
    ) -> None:
        """Takes the report that the weight store refused a load for a time."""
        self._bucket.pause(retry_after_seconds, now)
        self._ended(order)

    def state_read(
        self,
        read: ReadBack,
        state: dict[str, str] | None,
        now: float,
    ) -> None:
        """Takes the state of an endpoint.

        Args:
            read: What `actions` returned.
            state: Values by subject, or None if it could not be read.
            now: Time in seconds.
        """
        work = self._work.get(read.endpoint)
        if work is None or work.reading != read:
            return
        work.reading = None
        if state is None:
            work.read_due = now + _RETRY_SECONDS
            return
        work.read_due = now + _READ_BACK_SECONDS
        for subject, value in list(work.sent.items()):
            if state.get(subject) != value:
                del work.sent[subject]

    def snapshot(self) -> dict[str, Any]:
        """Returns the record of a snapshot of all desired state."""
        entries = [
            KnownDesired(offset, desired)
            for subjects in self._desired.values()
            for offset, _, desired in subjects.values()
        ]
        return msgspec.to_builtins(Snapshot(self.next_offset - 1, entries))

    def snapshot_due(self, now_ms: int, retention_seconds: float) -> bool:
        """Tells whether a record that holds desired state may soon expire.

        A reader that lost records itself cannot help others.
        """
        if self._lost_before is not None:
            return False
        oldest_ms = min(
            (
                time_ms
                for subjects in self._desired.values()
                for _, time_ms, _ in subjects.values()
            ),
            default=now_ms,
        )
        return (now_ms - oldest_ms) / 1000 > retention_seconds / 3

    def _fold_lease(
        self, offset: int, record: LeaseRecord, time_ms: int, now: float
    ) -> None:
        if record.scope != self.scope or not 0 < record.seconds <= 3600:
            return
        old = self._lease
        same = old is not None and old.holder == record.holder
        ended = old is None or old.released or time_ms >= old.until_ms
        if not same and not ended:
            return
        renewed = same and not ended
        self._lease = _Lease(
            record.holder,
            offset,
            time_ms + int(record.seconds * 1000),
            record.seconds,
        )
        self._lease_seen = now
        asked = self._asked.pop(record.attempt, None)
        if record.holder != self.node or asked is None:
            self._stop()
            return
        if not renewed:
            self._take_over(old, now)
        self.fence = offset
        # Counted from the ask, which came before the log's time.
        self.lease_until = max(self.lease_until, asked + record.seconds)

    def _fold_release(self, record: ReleaseRecord, time_ms: int) -> None:
        old = self._lease
        if (
            record.scope == self.scope
            and old is not None
            and (old.holder, old.fence) == (record.holder, record.fence)
            and time_ms < old.until_ms
        ):
            self._lease = msgspec.structs.replace(old, released=True)
            if record.holder == self.node:
                self._stop()

    def _fold_desired(
        self, offset: int, desired: Desired, time_ms: int
    ) -> None:
        subjects = self._desired[desired.endpoint]
        known = subjects.get(desired.subject())
        # The newest offset wins, so a late snapshot changes nothing.
        if known is None or offset >= known[0]:
            subjects[desired.subject()] = (offset, time_ms, desired)

    def _fold_snapshot(
        self, offset: int, snapshot: Snapshot, time_ms: int
    ) -> None:
        if snapshot.through >= offset:
            self.ignored += 1
            return
        if self._lost_before is not None:
            # One that leaves a part of the gap open may hold replaced state.
            if snapshot.through + 1 < self._lost_before:
                return
            self._lost_before = None
        for entry in snapshot.entries:
            if entry.offset <= snapshot.through:
                self._fold_desired(entry.offset, entry.desired, time_ms)

    def _take_over(self, old: _Lease | None, now: float) -> None:
        self._work = {}
        self._bucket.empty(now)
        clean = old is not None and old.released
        # Without a known old lease there may still be one whose record has
        # expired or was never read.
        self._wait_until = now if clean else now + self._margin

    def _stop(self) -> None:
        self.fence = -1
        self.lease_until = float("-inf")
        self._work = {}

    def _next_action(
        self, endpoint: ids.EndpointId, now: float
    ) -> Order | ReadBack | None:
        work = self._work.setdefault(endpoint, _Work({}))
        if not self._endpoints[endpoint].checks_fencing:
            work.not_before = max(work.not_before, self._wait_until)
        if work.in_flight or work.reading or now < work.not_before:
            return None
        for subject, (_, _, desired) in self._desired[endpoint].items():
            if work.sent.get(subject) == desired.value():
                continue
            loads = desired.kind is not OrderKind.SET_ROLE
            if loads and not self._bucket.take(now):
                continue
            work.in_flight = Order(
                endpoint,
                desired.kind,
                desired.name,
                desired.version,
                self.fence,
            )
            return work.in_flight
        if now >= work.read_due:
            work.reading = ReadBack(endpoint, self.fence)
            return work.reading
        return None

    def _ended(self, order: Order) -> _Work | None:
        """Ends an order under way; late answers of an old lease are nothing."""
        work = self._work.get(order.endpoint)
        if work is None or work.in_flight != order:
            return None
        work.in_flight = None
        return work
