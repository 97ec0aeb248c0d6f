"""Opens connections to endpoints, through other nodes if links are lost."""

from typing import TYPE_CHECKING

import curio

from baobabmux_core import catalogue, ids, links, messages
from baobabmux_node import adapters, client, clock, tunnels, unread_answers

if TYPE_CHECKING:
    from baobabmux_node import node

_PROBE_TIMEOUT_SECONDS = 0.3
# Bounds what probes cost a node that has lost many links.
_MAX_PROBES = 8
# Links to other endpoints that are tried before this node reports that an
# endpoint has failed.
_MAX_WITNESS_PROBES = 2
_WITNESS_TIMEOUT_SECONDS = 0.15
# Nodes that are asked for a tunnel for one connection, and the total time.
_MAX_CARRIERS = 3
_CARRIERS_TIMEOUT_SECONDS = 0.6
# Time for which a node is not asked again that could not carry a tunnel.
_UNSUITABLE_SECONDS = 1.0
# Time for which other nodes are not asked again about an endpoint that has
# failed.
_FAILED_SECONDS = 0.5

Kind = catalogue.EventKind


class EndpointPaths(adapters.Connector):
    """Connects a node to endpoints.

    Attributes:
        links: The node's own links to endpoints.
        tunnels: Ways to endpoints through other nodes.
        unread: Answers that nobody awaits.
    """

    def __init__(self, host: "node.Node"):
        self.links = links.LinkTable()
        self.tunnels = tunnels.Tunnels(host)
        self.unread = unread_answers.UnreadAnswers()
        self._host = host
        # Nodes that could not carry tunnels, with the time until which they
        # are asked last; in general, and to single endpoints.
        self._unsuitable: dict[ids.NodeId, float] = {}
        self._apart: dict[tuple[ids.NodeId, ids.EndpointId], float] = {}
        # Endpoints that other nodes do not reach either.
        self._failed: dict[ids.EndpointId, tuple[float, tunnels.Failure]] = {}

    async def open(
        self, call: adapters.Call, timeout: float, stall_seconds: float | None
    ) -> client.ClientConnection:
        """Opens a connection; see the base class.

        Raises:
            RefusedError: The endpoint refuses this node and another one.
            UnreachedError: This node's link has failed, and no other node has
                evidence that the endpoint has.
            ConnectError: No connection was made for another reason.
        """
        endpoint = call.endpoint
        if (
            self.links.lost_link(endpoint) is None
            or not self.tunnels.carriers()
        ):
            connection = client.ClientConnection(call.address, stall_seconds)
            try:
                await self.connect(connection, endpoint, timeout)
                return connection
            except client.ExhaustedError:
                raise
            except client.ConnectError:
                if not (
                    self._is_declared(endpoint) and self.tunnels.carriers()
                ):
                    raise
        return await self._open_tunnel(
            endpoint, call.address, stall_seconds, call.parsed
        )

    def answered(
        self, call: adapters.Call, connection: client.ClientConnection
    ) -> None:
        """Records an answer; see the base class."""
        if not connection.via:
            self.links.answered(call.endpoint, clock.now())

    def broke(
        self, call: adapters.Call, connection: client.ClientConnection
    ) -> None:
        """Records that a connection failed; see the base class."""
        del call
        if connection.via:
            self._unsuitable[connection.via] = clock.now() + _UNSUITABLE_SECONDS

    async def paused(
        self,
        call: adapters.Call,
        connection: client.ClientConnection,
        seconds: float,
    ) -> None:
        """Passes a pause on to the node that it concerns."""
        if connection.via:
            message = messages.EndpointPaused(
                call.endpoint, round(1000 * seconds)
            )
            await self._host.peers.send(connection.via, message)

    async def release(
        self,
        call: adapters.Call,
        connection: client.ClientConnection,
        report: unread_answers.Report,
    ) -> None:
        """Closes the connection of a call; see the base class.

        If its answer has not begun, the connection is read in the background,
        unless the request has not arrived.
        """
        if connection.kept:
            return
        if not connection.awaits_head or not connection.has_arrived():
            await connection.close()
            return

        async def report_head(head: client.Head) -> None:
            self.answered(call, connection)
            await report(head)

        await self.unread.take(
            call.endpoint,
            connection,
            report_head,
            lambda outcome: self._record_unread(call, outcome),
        )

    def lost_since(self, call: adapters.Call) -> float:
        """Returns when a link was lost; see the base class."""
        lost = self.links.lost_link(call.endpoint)
        return 0.0 if lost is None else lost.since

    async def connects(
        self,
        endpoint: ids.EndpointId,
        address: str,
        timeout: float = _PROBE_TIMEOUT_SECONDS,
    ) -> links.Evidence | None:
        """Tries whether an endpoint accepts connections from this node.

        Returns:
            None if it does, or else what shows that it does not.
        """
        connection = client.ClientConnection(address)
        try:
            await self.connect(connection, endpoint, timeout)
        except client.ConnectError as error:
            return _evidence(error)
        finally:
            await connection.close()
        return None

    async def has_ended(self, endpoint: ids.EndpointId, address: str) -> bool:
        """Returns whether an endpoint refuses connections from all nodes.

        One that refuses only this node, or that does not answer, may be cut
        off.
        """
        evidence = await self.connects(endpoint, address)
        if evidence is not links.Evidence.REFUSED:
            return False
        if not self.tunnels.carriers():
            return True
        try:
            connection = await self._open_tunnel(endpoint, address, None)
        except client.RefusedError:
            return True
        except client.ConnectError:
            return False
        await connection.close()
        return False

    async def reaches_another(self, endpoint: ids.EndpointId) -> bool:
        """Returns whether this node's links to other endpoints work.

        Otherwise it has no evidence that an endpoint which it does not reach
        has failed.
        """
        if self.links.reaches_others(endpoint, clock.now()):
            return True
        declared = self._host.configuration.endpoints
        others = [
            other
            for other in declared
            if other != endpoint and self.links.lost_link(other) is None
        ]
        for other in others[:_MAX_WITNESS_PROBES]:
            address = declared[other].address
            evidence = await self.connects(
                other, address, _WITNESS_TIMEOUT_SECONDS
            )
            if evidence is None:
                return True
        return False

    async def probe_links(self) -> None:
        """Starts to probe the links that may have changed and are due."""
        for endpoint in self.links.take_due_probes(_MAX_PROBES, clock.now()):
            declared = self._host.configuration.endpoints.get(endpoint)
            if declared is not None:
                await curio.spawn(
                    self.connects, endpoint, declared.address, daemon=True
                )

    def endpoints_changed(self) -> None:
        """Forgets links to endpoints that no longer exist."""
        endpoints = self._host.configuration.endpoints
        self.links.keep(endpoints)
        for endpoint in self._failed.keys() - endpoints:
            del self._failed[endpoint]

    async def connect(
        self,
        connection: client.ClientConnection,
        endpoint: ids.EndpointId,
        timeout: float,
    ) -> None:
        """Connects directly and records what that shows of the link.

        Raises:
            ConnectError: No connection was made.
        """
        try:
            await connection.connect(timeout)
        except client.ExhaustedError:
            # It shows nothing of the link.
            raise
        except client.ConnectError as error:
            evidence = _evidence(error)
            if self._is_declared(endpoint) and self.links.failed(
                endpoint, evidence, clock.now()
            ):
                self._record_change(endpoint, evidence.value)
            raise
        if not self._is_declared(endpoint):
            return
        self._failed.pop(endpoint, None)
        if self.links.connected(endpoint, clock.now()):
            self._record_change(endpoint, "sound")

    async def _open_tunnel(
        self,
        endpoint: ids.EndpointId,
        address: str,
        stall_seconds: float | None,
        parsed=None,
    ) -> client.ClientConnection:
        """Opens a connection through another node; see `open`."""
        started = clock.now()
        until, failure = self._failed.get(
            endpoint, (0.0, tunnels.Failure.UNSUITABLE)
        )
        if until > started:
            raise self._error(endpoint, address, failure)
        request = "" if parsed is None else parsed.request
        worst = tunnels.Failure.UNSUITABLE
        for peer in self._carriers(endpoint, started)[:_MAX_CARRIERS]:
            if clock.now() - started > _CARRIERS_TIMEOUT_SECONDS:
                break
            try:
                connection = await self.tunnels.open(
                    peer, endpoint, address, stall_seconds, request
                )
            except tunnels.TunnelError as error:
                until = clock.now() + _UNSUITABLE_SECONDS
                if error.failure is tunnels.Failure.UNSUITABLE:
                    self._unsuitable[peer] = until
                else:
                    self._apart[peer, endpoint] = until
                    worst = error.failure
                continue
            self._unsuitable.pop(peer, None)
            self._host.metrics.tunnels.labels("opened").inc()
            return connection
        self._host.metrics.tunnels.labels(worst.value).inc()
        if worst is not tunnels.Failure.UNSUITABLE:
            self._failed[endpoint] = clock.now() + _FAILED_SECONDS, worst
        raise self._error(endpoint, address, worst)

    def _error(
        self, endpoint: ids.EndpointId, address: str, failure: tunnels.Failure
    ) -> client.ConnectError:
        """Returns what the failures of this node and others show together."""
        lost = self.links.lost_link(endpoint)
        refused = lost is not None and lost.evidence is links.Evidence.REFUSED
        if failure is tunnels.Failure.UNSUITABLE:
            return client.UnreachedError(
                f"{address}: no link, and no other node carries a connection"
            )
        if refused and failure is tunnels.Failure.REFUSED:
            return client.RefusedError(
                f"{address}: refuses this node and others"
            )
        return client.ConnectError(
            f"{address}: not reached by this node or others"
        )

    def _carriers(
        self, endpoint: ids.EndpointId, now: float
    ) -> list[ids.NodeId]:
        """Returns the nodes to ask for a tunnel, those that failed last."""
        for records in (self._unsuitable, self._apart):
            for key, until in list(records.items()):
                if until <= now:
                    del records[key]
        return sorted(
            self.tunnels.carriers(),
            key=lambda peer: (
                (peer, endpoint) in self._apart,
                peer in self._unsuitable,
            ),
        )

    def _is_declared(self, endpoint: ids.EndpointId) -> bool:
        return endpoint in self._host.configuration.endpoints

    def _record_unread(
        self, call: adapters.Call, outcome: unread_answers.Outcome
    ) -> None:
        self._host.metrics.unread_answers.labels(outcome.value).inc()
        self._host.events.record(
            Kind.ANSWER_UNREAD,
            ids.RequestId("") if call.parsed is None else call.parsed.request,
            call.endpoint,
            outcome=outcome.value,
            age_ms=round((clock.now() - call.started_at) * 1000),
        )

    def _record_change(self, endpoint: ids.EndpointId, state: str) -> None:
        self._host.events.record(
            Kind.LINK_CHANGED,
            endpoint=endpoint,
            state=state,
            reaches_others=self.links.reaches_others(endpoint, clock.now()),
        )


def _evidence(error: client.ConnectError) -> links.Evidence:
    if isinstance(error, client.RefusedError):
        return links.Evidence.REFUSED
    return links.Evidence.SILENT
