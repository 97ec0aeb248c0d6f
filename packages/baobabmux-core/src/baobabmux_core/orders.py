"""Orders to endpoints, sent by one node at a time under a lease.

An order changes the model, an adapter or the role of an endpoint. The desired
state and the leases are derived from the records of the log stream `orders`. A
lease covers a scope (a data centre). The offset of its record is the fencing
token of all orders sent under it, so tokens only increase. A lease expires by
the timestamps of the log; its holder stops using it earlier, by its own clock.

If an endpoint ignores fencing tokens, the new holder first waits until every
order of the previous lease has arrived or timed out. It then sends the desired
state and reads it back.
"""

import collections
import enum
from typing import Any

import msgspec

from baobabmux_core import declarations, ids

STREAM = "orders"

LEASE_SECONDS = 15.0

MARGIN_SECONDS = 10.0
"""Wait after a previous lease at endpoints that ignore fencing tokens.

It covers an order that was started just before that lease expired, which the
driver aborts after `ORDER_TIMEOUT_SECONDS`. The remaining time covers clocks
that run at different speeds.
"""

ORDER_TIMEOUT_SECONDS = 8.0
"""Time after which a driver closes the connection of an unanswered order."""

# A lease is renewed when this share of it is left, which is early enough for
# two lost answers to appends.
_RENEWAL_SHARE = 0.6

_RETRY_SECONDS = 2.0

# Interval of read backs, which find changes made by orders that arrived after
# their lease had expired.
_READ_BACK_SECONDS = 60.0


class OrderKind(enum.Enum):
    """What an order changes at an endpoint."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    SET_ROLE = "set_role"


class Desired(msgspec.Struct, frozen=True, tag="desired"):
    """Log record: one part of the desired state of an endpoint.

    Attributes:
        endpoint: Endpoint to change.
        kind: Part of the state that is set.
        name: Name of the model, the adapter or the role.
        version: Version of the model or adapter, empty for a role.
        author: Who appended the record.
    """

    endpoint: ids.EndpointId
    kind: OrderKind
    name: str
    version: str = ""
    author: str = ""

    def subject(self) -> str:
        """Returns the part of the state that this sets.

        A later record with the same endpoint and subject replaces this one.
        """
        if self.kind is OrderKind.LOAD_ADAPTER:
            return f"{self.kind.value}/{self.name}"
        return self.kind.value

    def value(self) -> str:
        """Returns the value that this sets, as endpoints report it."""
        return f"{self.name}@{self.version}" if self.version else self.name


class LeaseRecord(msgspec.Struct, frozen=True, tag="lease"):
    """Log record: a node requests a lease or renews its own.

    Attributes:
        scope: Data centre of the endpoints that the lease covers.
        holder: Node that requests the lease.
        seconds: Duration, counted from the log's timestamp of the record.
        attempt: Identifier that distinguishes the requests of one node.
    """

    scope: ids.DataCentre
    holder: ids.NodeId
    seconds: float
    attempt: str


class ReleaseRecord(msgspec.Struct, frozen=True, tag="release"):
    """Log record: a holder ends its lease with no order outstanding.

    Attributes:
        scope: Data centre of the lease.
        holder: Node that holds the lease.
        fence: Fencing token of the lease, so that a late record cannot end a
            newer lease.
    """

    scope: ids.DataCentre
    holder: ids.NodeId
    fence: int


class KnownDesired(msgspec.Struct, frozen=True):
    """Entry of a snapshot: a `Desired` record and its offset."""

    offset: int
    desired: Desired


class Snapshot(msgspec.Struct, frozen=True, tag="snapshot"):
    """Log record: all desired state, for readers that start later.

    Attributes:
        through: Offset of the last record that the snapshot covers.
        entries: Newest record of each endpoint and subject.
    """

    through: int
    entries: list[KnownDesired]


class Order(msgspec.Struct, frozen=True):
    """Order to send to an endpoint.

    The driver calls `OrderController.start` immediately before it writes the
    first byte.
    """

    endpoint: ids.EndpointId
    kind: OrderKind
    name: str
    version: str
    fence: int


class ReadBack(msgspec.Struct, frozen=True):
    """Request to read an endpoint's state.

    The driver passes the state to `OrderController.state_read`.
    """

    endpoint: ids.EndpointId
    fence: int


class TokenBucket:
    """Token bucket rate limiter.

    Attributes:
        rate: Tokens added per second.
        burst: Maximum number of tokens in the bucket.
    """

    def __init__(self, rate: float, burst: float):
        self.rate = rate
        self.burst = burst
        self._tokens = 0.0
        self._updated_at: float | None = None

    def empty(self, now: float) -> None:
        """Removes all tokens, so that a new holder starts without a burst."""
        self._tokens, self._updated_at = 0.0, now

    def pause(self, seconds: float, now: float) -> None:
        """Empties the bucket and adds no tokens for the given time.

        Used when the rate-limited service asks for a pause.
        """
        self._tokens, self._updated_at = 0.0, now + seconds

    def take(self, now: float) -> bool:
        """Removes one token and returns whether there was one."""
        if self._updated_at is None:
            self._updated_at = now
        if now > self._updated_at:
            gained = (now - self._updated_at) * self.rate
            self._tokens = min(self.burst, self._tokens + gained)
            self._updated_at = now
        if self._tokens < 1 or now < self._updated_at:
            return False
        self._tokens -= 1
        return True


class _Lease(msgspec.Struct, frozen=True):
    """Lease of a scope according to the log."""

    holder: ids.NodeId
    fence: int
    until_ms: int
    seconds: float
    released: bool = False


class _EndpointProgress(msgspec.Struct):
    """State of the orders to one endpoint under the current lease.

    Attributes:
        accepted: Values that the endpoint accepted under this lease, by
            subject.
        in_flight: Outstanding order, or None.
        reading: Outstanding read back, or None.
        not_before: Time in seconds before which nothing is sent.
        read_due: Time in seconds of the next read back.
    """

    accepted: dict[str, str]
    in_flight: Order | None = None
    reading: ReadBack | None = None
    not_before: float = 0.0
    read_due: float = float("inf")


class OrderController:
    """Decides at one node which orders to send to the endpoints of one scope.

    It keeps the desired state and the lease of the scope and, while this node
    holds the lease, the progress of the orders to each endpoint.

    Attributes:
        node: This node.
        scope: Data centre of the endpoints.
        next_offset: Offset of the next record to apply.
        fence: Fencing token of this node's lease, or -1 without one.
        lease_until: Time in seconds at which this node's lease expires.
        ignored: Number of malformed records.
        refused: Number of orders that endpoints refused because they had seen
            a newer fencing token.
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
        self._margin_seconds = margin_seconds
        self._lease: _Lease | None = None
        self._lease_seen_at = float("-inf")
        self._takeover_wait_until = float("-inf")
        # Offset at which reading resumed after unread records had expired.
        # None if there was no such gap or a snapshot covers it.
        self._gap_end: int | None = None
        self._lease_requests: dict[str, float] = {}
        self._lease_attempts = 0
        self._endpoints: dict[ids.EndpointId, declarations.Endpoint] = {}
        self._desired: dict[
            ids.EndpointId, dict[str, tuple[int, int, Desired]]
        ] = collections.defaultdict(dict)
        self._progress: dict[ids.EndpointId, _EndpointProgress] = {}

    def configure(
        self, endpoints: dict[ids.EndpointId, declarations.Endpoint]
    ) -> None:
        """Sets the endpoints from the configuration in force."""
        self._endpoints = {
            name: endpoint
            for name, endpoint in endpoints.items()
            if endpoint.data_centre == self.scope
        }

    def has_desired(self) -> bool:
        """Returns whether any endpoint of the scope has a desired state.

        If none has, no lease is needed, which saves the log its renewals.
        """
        return any(self._desired.get(name) for name in self._endpoints)

    def apply(self, offset: int, record: Any, time_ms: int, now: float) -> None:
        """Applies one record; records before `next_offset` are ignored.

        Args:
            offset: Offset of the record.
            record: Data of the record, untrusted.
            time_ms: Unix time in milliseconds at which the log appended the
                record.
            now: Time in seconds.
        """
        if offset < self.next_offset:
            return
        if offset > self.next_offset:
            # Expired records may have replaced the desired state read so far,
            # so it counts as unknown until a snapshot covers the gap.
            self._desired.clear()
            self._gap_end = offset
        self.next_offset = offset + 1
        try:
            parsed = msgspec.convert(
                record, LeaseRecord | ReleaseRecord | Desired | Snapshot
            )
        except (msgspec.ValidationError, RecursionError, OverflowError):
            self.ignored += 1
            return
        if isinstance(parsed, LeaseRecord):
            self._apply_lease(offset, parsed, time_ms, now)
        elif isinstance(parsed, ReleaseRecord):
            self._apply_release(parsed, time_ms)
        elif isinstance(parsed, Desired):
            self._apply_desired(offset, parsed, time_ms)
        else:
            self._apply_snapshot(offset, parsed, time_ms)

    def request_lease(self, now: float) -> dict[str, Any] | None:
        """Returns the record to append for a new or renewed lease, or None.

        Only the node that should hold the lease calls this. The node holds
        the lease once the record has been read back from the log and applied.
        """
        if (
            self._lease_requests
            and now - max(self._lease_requests.values()) < _RETRY_SECONDS
        ):
            return None
        held = self._lease is not None and not self._lease.released
        if held and self._lease.holder == self.node:
            remaining_seconds = self.lease_until - now
            if remaining_seconds > self._lease_seconds * _RENEWAL_SHARE:
                return None
        elif held and now < self._lease_seen_at + self._lease.seconds:
            return None
        self._lease_attempts += 1
        attempt = f"{self.node}/{self._lease_attempts}"
        self._lease_requests = {
            key: at
            for key, at in self._lease_requests.items()
            if now - at < self._lease_seconds
        }
        self._lease_requests[attempt] = now
        return msgspec.to_builtins(
            LeaseRecord(self.scope, self.node, self._lease_seconds, attempt)
        )

    def holds_lease(self, now: float) -> bool:
        """Returns whether this node holds the lease and may send orders."""
        return self.fence >= 0 and now < self.lease_until

    def release(self, now: float) -> dict[str, Any] | None:
        """Ends this node's lease for a graceful shutdown.

        Returns:
            The record to append, or None if the node has no lease or an order
            may still arrive. Once a record is returned, no order is sent.
        """
        if not self.holds_lease(now) or any(
            progress.in_flight or now < progress.not_before
            for progress in self._progress.values()
        ):
            return None
        record = ReleaseRecord(self.scope, self.node, self.fence)
        self._drop_lease()
        return msgspec.to_builtins(record)

    def actions(self, now: float) -> list[Order | ReadBack]:
        """Returns the orders and read backs that are due now."""
        if not self.holds_lease(now) or self._gap_end is not None:
            return []
        found: list[Order | ReadBack] = []
        for endpoint in self._endpoints:
            action = self._next_action(endpoint, now)
            if action is not None:
                found.append(action)
        return found

    def start(self, order: Order, now: float) -> bool:
        """Returns whether an order may still be sent.

        The driver calls this just before it writes the order: if the process
        was paused after `actions` returned the order, its lease may have
        expired.
        """
        progress = self._progress.get(order.endpoint)
        if progress is None or progress.in_flight != order:
            return False
        if self.holds_lease(now):
            return True
        progress.in_flight = None
        return False

    def applied(self, order: Order, now: float) -> None:
        """Handles an order that the endpoint accepted."""
        progress = self._finish_order(order)
        if progress is None:
            return
        desired = Desired(order.endpoint, order.kind, order.name, order.version)
        progress.accepted[desired.subject()] = desired.value()
        progress.read_due = now

    def fence_refused(self, order: Order, now: float) -> None:
        """Handles an order refused because of a newer fencing token.

        Another node holds the lease, so this node sends nothing more under
        its own.
        """
        self.refused += 1
        if self._finish_order(order) is not None:
            self._drop_lease()

    def failed(self, order: Order, now: float) -> None:
        """Handles an order whose outcome is unknown.

        Nothing is sent to the endpoint until that order can no longer arrive:
        all orders of a lease have the same fencing token, so the endpoint
        could not detect that it is late.
        """
        progress = self._finish_order(order)
        if progress is not None:
            wait_until = now + ORDER_TIMEOUT_SECONDS
            progress.not_before = max(progress.not_before, wait_until)

    def throttled(
        self, order: Order, retry_after_seconds: float, now: float
    ) -> None:
        """Handles an order refused because the weight store is rate-limited."""
        self._bucket.pause(retry_after_seconds, now)
        self._finish_order(order)

    def state_read(
        self,
        read: ReadBack,
        state: dict[str, str] | None,
        now: float,
    ) -> None:
        """Compares an endpoint's state with the accepted orders.

        Values that differ are sent again.

        Args:
            read: Read back that `actions` returned.
            state: Values by subject, or None if it could not be read.
            now: Time in seconds.
        """
        progress = self._progress.get(read.endpoint)
        if progress is None or progress.reading != read:
            return
        progress.reading = None
        if state is None:
            progress.read_due = now + _RETRY_SECONDS
            return
        progress.read_due = now + _READ_BACK_SECONDS
        for subject, value in list(progress.accepted.items()):
            if state.get(subject) != value:
                del progress.accepted[subject]

    def snapshot(self) -> dict[str, Any]:
        """Returns a snapshot of all desired state as a log record."""
        entries = [
            KnownDesired(offset, desired)
            for subjects in self._desired.values()
            for offset, _, desired in subjects.values()
        ]
        return msgspec.to_builtins(Snapshot(self.next_offset - 1, entries))

    def snapshot_due(self, now_ms: int, retention_seconds: float) -> bool:
        """Returns whether a record with desired state may soon expire.

        False while this node itself lacks expired records, because its
        snapshot would be incomplete.
        """
        if self._gap_end is not None:
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

    def _apply_lease(
        self, offset: int, record: LeaseRecord, time_ms: int, now: float
    ) -> None:
        if record.scope != self.scope or not 0 < record.seconds <= 3600:
            return
        previous = self._lease
        same_holder = previous is not None and previous.holder == record.holder
        ended = (
            previous is None
            or previous.released
            or time_ms >= previous.until_ms
        )
        if not same_holder and not ended:
            return
        renewed = same_holder and not ended
        self._lease = _Lease(
            record.holder,
            offset,
            time_ms + int(record.seconds * 1000),
            record.seconds,
        )
        self._lease_seen_at = now
        requested_at = self._lease_requests.pop(record.attempt, None)
        if record.holder != self.node or requested_at is None:
            self._drop_lease()
            return
        if not renewed:
            self._take_over(previous, now)
        self.fence = offset
        # Counted from the request, which precedes the log's timestamp, so the
        # lease expires here before it expires in the log.
        self.lease_until = max(self.lease_until, requested_at + record.seconds)

    def _apply_release(self, record: ReleaseRecord, time_ms: int) -> None:
        previous = self._lease
        if (
            record.scope == self.scope
            and previous is not None
            and (previous.holder, previous.fence)
            == (record.holder, record.fence)
            and time_ms < previous.until_ms
        ):
            self._lease = msgspec.structs.replace(previous, released=True)
            if record.holder == self.node:
                self._drop_lease()

    def _apply_desired(
        self, offset: int, desired: Desired, time_ms: int
    ) -> None:
        subjects = self._desired[desired.endpoint]
        current = subjects.get(desired.subject())
        # The record with the highest offset applies, so a late snapshot does
        # not replace newer state.
        if current is None or offset >= current[0]:
            subjects[desired.subject()] = (offset, time_ms, desired)

    def _apply_snapshot(
        self, offset: int, snapshot: Snapshot, time_ms: int
    ) -> None:
        if snapshot.through >= offset:
            self.ignored += 1
            return
        if self._gap_end is not None:
            # A snapshot that does not cover the whole gap may contain state
            # that expired records have replaced.
            if snapshot.through + 1 < self._gap_end:
                return
            self._gap_end = None
        for entry in snapshot.entries:
            if entry.offset <= snapshot.through:
                self._apply_desired(entry.offset, entry.desired, time_ms)

    def _take_over(self, previous: _Lease | None, now: float) -> None:
        self._progress = {}
        self._bucket.empty(now)
        was_released = previous is not None and previous.released
        # Even if no previous lease is known, there may be one whose record has
        # expired or was never read.
        self._takeover_wait_until = (
            now if was_released else now + self._margin_seconds
        )

    def _drop_lease(self) -> None:
        self.fence = -1
        self.lease_until = float("-inf")
        self._progress = {}

    def _next_action(
        self, endpoint: ids.EndpointId, now: float
    ) -> Order | ReadBack | None:
        progress = self._progress.setdefault(endpoint, _EndpointProgress({}))
        if not self._endpoints[endpoint].checks_fencing:
            progress.not_before = max(
                progress.not_before, self._takeover_wait_until
            )
        if progress.in_flight or progress.reading or now < progress.not_before:
            return None
        for subject, (_, _, desired) in self._desired[endpoint].items():
            if progress.accepted.get(subject) == desired.value():
                continue
            loads_weights = desired.kind is not OrderKind.SET_ROLE
            if loads_weights and not self._bucket.take(now):
                continue
            progress.in_flight = Order(
                endpoint,
                desired.kind,
                desired.name,
                desired.version,
                self.fence,
            )
            return progress.in_flight
        if now >= progress.read_due:
            progress.reading = ReadBack(endpoint, self.fence)
            return progress.reading
        return None

    def _finish_order(self, order: Order) -> _EndpointProgress | None:
        """Ends an outstanding order and returns the endpoint's progress.

        Returns None for the late answer to an order of an earlier lease.
        """
        progress = self._progress.get(order.endpoint)
        if progress is None or progress.in_flight != order:
            return None
        progress.in_flight = None
        return progress
