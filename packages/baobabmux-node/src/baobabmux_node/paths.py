"""Opens connections to endpoints and keeps the state of the node's links."""

from typing import TYPE_CHECKING

import curio

from baobabmux_core import catalogue, ids, links
from baobabmux_node import adapters, client, clock

if TYPE_CHECKING:
    from baobabmux_node import node

_PROBE_CHECK_SECONDS = 0.1
_PROBE_TIMEOUT_SECONDS = 0.3
# Bounds what probes cost a node that has lost many links.
_MAX_PROBES = 8

Kind = catalogue.EventKind


class EndpointPaths(adapters.Connector):
    """Connects a node to endpoints.

    Attributes:
        links: The node's own links to endpoints.
    """

    def __init__(self, host: "node.Node"):
        self.links = links.LinkTable()
        self._host = host

    async def open(
        self, call: adapters.Call, timeout: float, stall_seconds: float | None
    ) -> client.ClientConnection:
        """Opens a connection; see the base class."""
        connection = client.ClientConnection(call.address, stall_seconds)
        await self._connect(connection, call.endpoint, timeout)
        return connection

    def answered(self, call: adapters.Call) -> None:
        """Records an answer; see the base class."""
        self.links.answered(call.endpoint, clock.now())

    async def connects(
        self, endpoint: ids.EndpointId, address: str
    ) -> links.Evidence | None:
        """Tries whether an endpoint accepts connections.

        Returns:
            None if it does, or else what shows that it does not.
        """
        connection = client.ClientConnection(address)
        try:
            await self._connect(connection, endpoint, _PROBE_TIMEOUT_SECONDS)
        except client.ConnectError as error:
            return _evidence(error)
        finally:
            await connection.close()
        return None

    async def probe_links(self) -> None:
        """Probes links that may have changed, until cancelled."""
        while True:
            await curio.sleep(_PROBE_CHECK_SECONDS)
            configuration = self._host.configuration
            if configuration is None:
                continue
            due = self.links.take_due_probes(_MAX_PROBES, clock.now())
            for endpoint in due:
                declared = configuration.endpoints.get(endpoint)
                if declared is not None:
                    await curio.spawn(
                        self.connects, endpoint, declared.address, daemon=True
                    )

    def endpoints_changed(self) -> None:
        """Forgets links to endpoints that no longer exist."""
        self.links.keep(self._host.configuration.endpoints)

    async def _connect(
        self,
        connection: client.ClientConnection,
        endpoint: ids.EndpointId,
        timeout: float,
    ) -> None:
        is_declared = endpoint in self._host.configuration.endpoints
        try:
            await connection.connect(timeout)
        except client.ConnectError as error:
            if is_declared and self.links.failed(
                endpoint, _evidence(error), clock.now()
            ):
                self._record_change(endpoint, _evidence(error).value)
            raise
        if is_declared and self.links.connected(endpoint, clock.now()):
            self._record_change(endpoint, "sound")

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
