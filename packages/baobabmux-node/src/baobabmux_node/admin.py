"""Admin listener: health, readiness, metrics, status, timeline and drain."""

import urllib.parse
from typing import TYPE_CHECKING

import msgspec

from baobabmux_core import catalogue, errors, ids, revisions
from baobabmux_node import clock, responses, server, status

if TYPE_CHECKING:
    from baobabmux_node import node

_MAX_BODY_BYTES = 10_000
_SMALL_ANSWERS = frozenset({"/healthz", "/readyz"})


class DrainOrder(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of POST /drain.

    Attributes:
        endpoint: Endpoint that is to receive no new requests.
        drain: Whether the drain starts; False ends it.
    """

    endpoint: ids.EndpointId
    drain: bool = True


class Admin:
    """Handles requests of operators and metrics collectors."""

    def __init__(self, host: "node.Node"):
        self._host = host
        self._handlers = {
            "/healthz": self._health,
            "/readyz": self._ready,
            "/metrics": self._metrics,
            "/status": self._status,
            "/timeline": self._timeline,
        }

    async def handle(self, exchange: server.Exchange) -> None:
        """Handles one request."""
        await exchange.read_body(_MAX_BODY_BYTES)
        if exchange.method == "POST" and exchange.path == "/drain":
            await exchange.respond(*await self._drain(exchange.body))
            return
        query = self._handlers.get(exchange.path)
        if query is None:
            kind = errors.ErrorKind.NO_ROUTE
            await exchange.respond(*responses.problem(kind, ""))
            return
        if exchange.method not in ("GET", "HEAD"):
            kind = errors.ErrorKind.METHOD_NOT_ALLOWED
            await exchange.respond(*responses.problem(kind, ""))
            return
        if exchange.is_congested and exchange.path not in _SMALL_ANSWERS:
            kind = errors.ErrorKind.OVERLOADED
            await exchange.respond(*responses.problem(kind, ""))
            return
        await exchange.respond(*query(exchange))

    def _health(self, exchange: server.Exchange) -> responses.Response:
        del exchange
        return responses.text("ok\n")

    def _ready(self, exchange: server.Exchange) -> responses.Response:
        del exchange
        if self._host.ready():
            return responses.text("ready\n")
        if self._host.draining:
            return responses.text("shutting down\n", 503)
        if self._host.configuration is None:
            reason = "no configuration from the log or a peer yet"
        else:
            reason = "no frame from some of the listed peers yet"
        return responses.text(f"{reason}\n", 503)

    def _metrics(self, exchange: server.Exchange) -> responses.Response:
        del exchange
        headers = {"content-type": "text/plain; version=0.0.4; charset=utf-8"}
        return 200, headers, self._host.metrics.render()

    def _status(self, exchange: server.Exchange) -> responses.Response:
        del exchange
        host = self._host
        now = clock.now()
        active_preset = host.configuration and host.configuration.active
        return responses.json(
            {
                "node": host.settings.node,
                "data_centre": host.settings.data_centre,
                "revision": revisions.CURRENT,
                "ability": host.settings.ability,
                "state": "leaving" if host.draining else "live",
                "ready": host.ready(),
                "config_version": host.config.version,
                "config_through": host.config.through,
                "preset": active_preset,
                "log_reachable": host.ports.reachable(),
                "members": {
                    name: host.membership.state(name).value
                    for name in host.membership.reachable()
                },
                "groups": status.group_states(host.scheduler, now),
                "held": len(host.callers.held),
                "timeline_events": len(host.events.timeline),
                "addresses": host.addresses(),
            }
        )

    def _timeline(self, exchange: server.Exchange) -> responses.Response:
        query = urllib.parse.parse_qs(exchange.target.partition("?")[2])
        events = self._host.events.timeline.select(
            request=query.get("request", [""])[0],
            endpoint=query.get("endpoint", [""])[0],
            since_ms=_parse_milliseconds(query.get("since", ["0"])[0]),
        )
        return responses.json(
            {"node": self._host.settings.node, "events": events}
        )

    async def _drain(self, body: bytes) -> responses.Response:
        try:
            order = msgspec.json.decode(body, type=DrainOrder)
        except msgspec.DecodeError as error:
            return responses.problem(
                errors.ErrorKind.BAD_REQUEST, "", str(error)
            )
        host = self._host
        configuration = host.configuration
        if configuration is None or (
            order.endpoint not in configuration.endpoints
        ):
            return responses.problem(
                errors.ErrorKind.BAD_REQUEST,
                "",
                f'endpoint "{order.endpoint}" is not declared',
            )
        await self._apply_drain(order)
        return responses.json(
            {"endpoint": order.endpoint, "drain": order.drain}
        )

    async def _apply_drain(self, order: DrainOrder) -> None:
        host = self._host
        host.events.record(
            catalogue.EventKind.ENDPOINT_DRAINED,
            endpoint=order.endpoint,
            drain=order.drain,
        )
        await host.driver.apply(
            host.scheduler.drain_endpoint(
                order.endpoint, order.drain, clock.now()
            )
        )


def _parse_milliseconds(text: str) -> int:
    return int(text) if text.isdigit() else 0
