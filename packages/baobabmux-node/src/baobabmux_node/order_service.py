"""Sends orders to the endpoints of a data centre under a lease.

The module follows the desired state on the log; the order controller in
`baobabmux_core` owns the desired state, the lease and what to send next.
"""

from typing import TYPE_CHECKING

import curio
import msgspec

from baobabmux_core import catalogue, ids, orders, rendezvous
from baobabmux_node import client, clock, log_service, wall_clock

if TYPE_CHECKING:
    from baobabmux_node import node

_LONG_POLL_SECONDS = 8.0
_CONTROL_INTERVAL_SECONDS = 0.5
_LOG_RETRY_SECONDS = 1.0
_SNAPSHOT_CHECK_SECONDS = 30.0
# The weight store admits only a few downloads per second over all data
# centres.
_LOADS_PER_SECOND = 0.5
_LOAD_BURST = 2.0
_RETRY_AFTER_SECONDS = 5.0

Kind = catalogue.EventKind


class _OrderState(msgspec.Struct):
    """One loaded item or role in the state that an endpoint reports."""

    kind: str
    name: str
    version: str = ""


class _EndpointState(msgspec.Struct):
    """Answer to GET /v1/orders; other fields are ignored."""

    loaded: list[_OrderState]


class OrderService:
    """Follows the desired state on the log and sends orders to reach it.

    Attributes:
        controller: Controller that decides on leases and orders.
    """

    def __init__(self, host: "node.Node", log: log_service.LogService):
        self._host = host
        self._log = log
        self.controller = orders.OrderController(
            host.settings.node,
            host.settings.data_centre,
            orders.TokenBucket(_LOADS_PER_SECOND, _LOAD_BURST),
        )

    async def follow(self) -> None:
        """Reads the stream until cancelled."""
        controller = self.controller
        while True:
            try:
                page = await self._log.read(
                    orders.STREAM,
                    controller.next_offset,
                    wait=_LONG_POLL_SECONDS,
                )
            except log_service.LogError:
                await curio.sleep(_LOG_RETRY_SECONDS)
                continue
            now = clock.now()
            for record in page.records:
                controller.apply(
                    record.offset, record.data, record.time_ms, now
                )

    async def run(self) -> None:
        """Requests the lease and sends the orders that are due.

        In each data centre, only the node that rendezvous hashing selects
        requests the lease.
        """
        snapshot_at = 0.0
        while True:
            await curio.sleep(_CONTROL_INTERVAL_SECONDS)
            now = clock.now()
            if self._is_lease_candidate() and self.controller.has_desired():
                await self._append(self.controller.request_lease(now))
                if now >= snapshot_at:
                    snapshot_at = now + _SNAPSHOT_CHECK_SECONDS
                    await self._append_snapshot()
            for action in self.controller.actions(now):
                if isinstance(action, orders.Order):
                    await curio.spawn(self._send, action, daemon=True)
                else:
                    await curio.spawn(self._read_back, action, daemon=True)

    async def release(self) -> None:
        """Releases the lease for a graceful shutdown."""
        await self._append(self.controller.release(clock.now()))

    def _is_lease_candidate(self) -> bool:
        host = self._host
        live = host.membership.live(host.settings.data_centre)
        task = f"{orders.STREAM}@{host.settings.data_centre}"
        return (
            not host.draining
            and rendezvous.owner(task, live) == host.settings.node
        )

    async def _append(self, record) -> None:
        if record is None:
            return
        try:
            await self._log.append(orders.STREAM, record)
        except log_service.LogError:
            # The controller requests again; a lease takes effect only when its
            # record is read from the log.
            return

    async def _append_snapshot(self) -> None:
        retention = self._host.settings.log_retention_seconds
        now_ms = wall_clock.unix_ms()
        if self.controller.snapshot_due(now_ms, retention):
            await self._append(self.controller.snapshot())

    async def _send(self, order: orders.Order) -> None:
        address = self._address(order.endpoint)
        connection = client.ClientConnection(
            address, orders.ORDER_TIMEOUT_SECONDS
        )
        try:
            async with curio.timeout_after(orders.ORDER_TIMEOUT_SECONDS):
                await connection.connect(2.0)
                if not self.controller.start(order, clock.now()):
                    return
                self._host.events.record(
                    Kind.ORDER_SENT,
                    endpoint=order.endpoint,
                    order=f"{order.kind.value} {order.name} {order.version}",
                    fence=order.fence,
                )
                await connection.request(
                    "POST",
                    "/v1/orders",
                    {"content-type": "application/json"},
                    _body(order),
                )
                head = await connection.head()
            self._handle_response(order, head)
        except (curio.TaskTimeout, client.ClientError):
            self.controller.failed(order, clock.now())
        finally:
            await connection.close()

    def _handle_response(self, order: orders.Order, head: client.Head) -> None:
        now = clock.now()
        if head.status in (200, 201, 202):
            self.controller.applied(order, now)
        elif head.status == 409:
            self.controller.fence_refused(order, now)
        elif head.status == 429:
            retry_after = head.headers.get("retry-after", "")
            seconds = (
                float(retry_after)
                if _is_number(retry_after)
                else _RETRY_AFTER_SECONDS
            )
            self.controller.throttled(order, seconds, now)
        else:
            self.controller.failed(order, now)

    async def _read_back(self, read: orders.ReadBack) -> None:
        state = None
        try:
            status, body = await client.fetch(
                self._address(read.endpoint), "GET", "/v1/orders"
            )
            if status == 200:
                decoded = msgspec.json.decode(body, type=_EndpointState)
                state = _values_by_subject(read.endpoint, decoded)
        except (client.ClientError, msgspec.DecodeError, ValueError):
            state = None
        self.controller.state_read(read, state, clock.now())

    def _address(self, endpoint: ids.EndpointId) -> str:
        return self._host.callers.endpoint(endpoint)[1]


def _body(order: orders.Order) -> bytes:
    return msgspec.json.encode(
        {
            "kind": order.kind.value,
            "name": order.name,
            "version": order.version,
            "fence": order.fence,
        }
    )


def _values_by_subject(
    endpoint: ids.EndpointId, state: _EndpointState
) -> dict[str, str]:
    """Returns the values that an endpoint reports, by `Desired.subject`."""
    desired = [
        orders.Desired(
            endpoint, orders.OrderKind(item.kind), item.name, item.version
        )
        for item in state.loaded
    ]
    return {item.subject(): item.value() for item in desired}


def _is_number(text: str) -> bool:
    return text.replace(".", "", 1).isdigit()
