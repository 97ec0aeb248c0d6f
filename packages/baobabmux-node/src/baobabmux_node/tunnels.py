"""Carries connections of other nodes to endpoints, and opens such tunnels.

A node that has lost its link to an endpoint asks another node for a tunnel
(CONNECT, RFC 9110, 9.3.6). The other node connects to the endpoint itself and
copies bytes; it never uses a tunnel of its own, so there is one hop. The
requests and their answers stay with the node that holds the caller.
"""

import collections
import enum
import functools
import hashlib
import hmac
import socket
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import curio
import msgspec

from baobabmux_core import catalogue, ids, links
from baobabmux_node import (
    adapters,
    answer_heads,
    client,
    clock,
    responses,
    server,
    socket_reader,
    sockets,
    wall_clock,
)

if TYPE_CHECKING:
    from baobabmux_node import node

# The node that carries the tunnel connects within a shorter time.
_OPEN_TIMEOUT_SECONDS = 0.5
_CONNECT_TIMEOUT_SECONDS = 0.3
_READ_BYTES = 65_536
# The node that asked for a tunnel may read an answer after it has ended its
# side, but for no longer.
_ANSWER_TIMEOUT_SECONDS = 2.0
_CHECK_SECONDS = 0.1
# Connections carried at a time, for all nodes and for one of them. Each takes
# two descriptors and its share of the loop.
_MAX_CARRIED = 256
_MAX_CARRIED_FOR_NODE = 64
_MAX_TOKEN_AGE_MS = 30_000

_ENDPOINT = "baobabmux-endpoint"
_NODE = "baobabmux-node"
_REQUEST = "baobabmux-request-id"
_TIME = "baobabmux-time"
_TOKEN = "baobabmux-token"
_FAILURE = "baobabmux-failure"

Kind = catalogue.EventKind


class Failure(enum.Enum):
    """Why a node opened no tunnel."""

    # The endpoint does not accept connections from that node, which reaches
    # other endpoints.
    REFUSED = "refused"
    SILENT = "silent"
    # That node may not carry a tunnel, or has no evidence about the endpoint.
    UNSUITABLE = "unsuitable"


class TunnelError(Exception):
    """No tunnel was opened, so no byte reached the endpoint.

    Attributes:
        failure: Why.
    """

    def __init__(self, failure: Failure):
        super().__init__(failure.value)
        self.failure = failure


class TunnelServer:
    """Opens and carries tunnels for other nodes.

    Attributes:
        carried: Number of open tunnels by the node that they are for.
    """

    def __init__(self, host: "node.Node"):
        self.carried: collections.Counter[ids.NodeId] = collections.Counter()
        self._host = host

    async def handle(self, exchange: server.Exchange) -> None:
        """Answers a request for a tunnel and carries it to its end."""
        await exchange.read_body(0)
        headers = exchange.headers
        if exchange.method != "CONNECT" or not self._is_authentic(headers):
            await exchange.respond(*responses.text("not allowed\n", 403))
            return
        endpoint = ids.EndpointId(headers.get(_ENDPOINT, ""))
        peer = ids.NodeId(headers.get(_NODE, ""))
        carried = 0
        if self._is_suitable(endpoint, peer):
            self.carried[peer] += 1
            try:
                failure, carried = await self._carry(exchange, endpoint)
            finally:
                self.carried[peer] -= 1
                if not self.carried[peer]:
                    del self.carried[peer]
        else:
            failure = Failure.UNSUITABLE
        if failure is not None:
            await exchange.respond(502, {_FAILURE: failure.value}, b"")
        self._host.events.record(
            Kind.TUNNEL_ENDED,
            ids.RequestId(headers.get(_REQUEST, "")),
            endpoint,
            peer=peer,
            outcome="carried" if failure is None else failure.value,
            bytes=carried,
        )

    def _is_suitable(self, endpoint: ids.EndpointId, peer: ids.NodeId) -> bool:
        """Returns whether this node may carry a connection for another one."""
        now = clock.now()
        return (
            not self._host.draining
            and self.carried.total() < _MAX_CARRIED
            and self.carried[peer] < _MAX_CARRIED_FOR_NODE
            and self._host.configuration is not None
            and endpoint in self._host.configuration.endpoints
            and self._host.scheduler.takes_work(endpoint, now)
        )

    async def _carry(
        self, exchange: server.Exchange, endpoint: ids.EndpointId
    ) -> tuple[Failure | None, int]:
        """Returns why there is no tunnel, or else the bytes that it carried."""
        paths = self._host.paths
        declared = self._host.configuration.endpoints[endpoint]
        upstream = client.ClientConnection(declared.address)
        lost = paths.links.lost_link(endpoint)
        evidence = None if lost is None else lost.evidence
        try:
            if evidence is None:
                try:
                    await paths.connect(
                        upstream, endpoint, _CONNECT_TIMEOUT_SECONDS
                    )
                except client.RefusedError:
                    evidence = links.Evidence.REFUSED
                except client.ExhaustedError:
                    return Failure.UNSUITABLE, 0
                except client.ConnectError:
                    evidence = links.Evidence.SILENT
            if evidence is not None:
                if not await paths.reaches_another(endpoint):
                    return Failure.UNSUITABLE, 0
                return Failure(evidence.value), 0
            await exchange.start(200, {})
            report = functools.partial(
                self._report_pause, exchange, endpoint, clock.now()
            )
            return None, await self._join(exchange, upstream, report)
        finally:
            await upstream.close()

    async def _report_pause(
        self,
        exchange: server.Exchange,
        endpoint: ids.EndpointId,
        started_at: float,
        head: client.Head,
    ) -> None:
        """Reports a pause, which concerns the node that the endpoint sees."""
        if seconds := adapters.parse_pause(head):
            request = ids.RequestId(exchange.headers.get(_REQUEST, ""))
            await self._host.callers.pause_observed(
                request, endpoint, seconds, started_at
            )

    async def _join(
        self,
        exchange: server.Exchange,
        upstream: client.ClientConnection,
        report: Callable[[client.Head], Awaitable[None]],
    ) -> int:
        """Copies bytes between a node and an endpoint until either side ends.

        The end of either side is passed on, and a reset as a reset: an answer
        may have no other end than that of its connection. After the node has
        ended its side, an answer is still copied for a bounded time.

        Args:
            exchange: The connection of the node.
            upstream: The connection of the endpoint.
            report: Called with the head of the answer.

        Returns:
            The number of bytes copied.
        """
        downstream, early = exchange.take_over()
        endpoint = upstream.detach()
        sockets.set_reset_on_close(downstream, True)
        copied = _Copied()
        try:
            if early:
                await endpoint.sendall(early)
            async with curio.TaskGroup(wait=any) as group:
                await group.spawn(
                    self._copy_request, downstream, endpoint, copied
                )
                await group.spawn(
                    _copy_answer, endpoint, downstream, copied, report
                )
        finally:
            sockets.drop_lost_output_on_close(endpoint)
            await endpoint.close()
        return copied.total()

    async def _copy_request(self, downstream, endpoint, copied) -> None:
        reader = socket_reader.SocketReader(downstream)
        try:
            while data := await reader.receive(_READ_BYTES):
                copied.request_bytes += len(data)
                await endpoint.sendall(data)
            copied.is_request_ended = True
            await endpoint.shutdown(socket.SHUT_WR)
        except OSError:
            return
        ends_at = clock.now() + _ANSWER_TIMEOUT_SECONDS
        while clock.now() < ends_at and not self._host.draining:
            await curio.sleep(_CHECK_SECONDS)

    def _is_authentic(self, headers: dict[str, str]) -> bool:
        secret = self._host.settings.secret
        if not secret:
            return True
        time_ms = headers.get(_TIME, "")
        if not time_ms.isdigit():
            return False
        age_ms = abs(wall_clock.unix_ms() - int(time_ms))
        expected = _token(
            secret, headers.get(_ENDPOINT, ""), headers.get(_NODE, ""), time_ms
        )
        return age_ms <= _MAX_TOKEN_AGE_MS and hmac.compare_digest(
            expected, headers.get(_TOKEN, "")
        )


def _token(secret: bytes, *parts: str) -> str:
    text = "\n".join(parts).encode()
    return hashlib.blake2b(text, digest_size=16, key=secret).hexdigest()


class _Copied(msgspec.Struct):
    """What a tunnel has carried.

    Attributes:
        request_bytes: Bytes of the node.
        answer_bytes: Bytes of the endpoint.
        is_request_ended: Whether the node has ended its side.
    """

    request_bytes: int = 0
    answer_bytes: int = 0
    is_request_ended: bool = False

    def total(self) -> int:
        """Returns the bytes in both directions."""
        return self.request_bytes + self.answer_bytes


async def _copy_answer(endpoint, downstream, copied, report) -> None:
    heads = answer_heads.HeadReader()
    reader = socket_reader.SocketReader(endpoint)
    try:
        while data := await reader.receive(_READ_BYTES):
            copied.answer_bytes += len(data)
            if (head := heads.add(data)) is not None:
                await report(head)
            await downstream.sendall(data)
    except OSError:
        return
    # After both ends the state of the connection says nothing of a reset, but
    # then the node awaits no answer.
    if not copied.is_request_ended and (
        await sockets.is_reset_after_end(endpoint)
    ):
        return
    sockets.set_reset_on_close(downstream, False)


class Tunnels:
    """Opens tunnels through other nodes.

    Attributes:
        open_through: Number of open tunnels by the node that carries them.
    """

    def __init__(self, host: "node.Node"):
        self.open_through: collections.Counter[ids.NodeId] = (
            collections.Counter()
        )
        self._host = host
        # Ports at which other nodes accept requests for tunnels.
        self._ports: dict[ids.NodeId, int] = {}

    def announced(self, peer: ids.NodeId, port: int) -> None:
        """Records the port in a node's heartbeat, 0 without one."""
        if port:
            self._ports[peer] = port
        else:
            self._ports.pop(peer, None)

    def carriers(self) -> list[ids.NodeId]:
        """Returns the other nodes that may carry tunnels, least used first."""
        nodes = [
            peer
            for peer in self._host.membership.reachable()
            if peer in self._ports
        ]
        return sorted(nodes, key=lambda peer: (self.open_through[peer], peer))

    async def open(
        self,
        peer: ids.NodeId,
        endpoint: ids.EndpointId,
        address: str,
        stall_seconds: float | None,
        request: str = "",
    ) -> client.ClientConnection:
        """Opens a connection to an endpoint through another node.

        Args:
            peer: Node that carries it.
            endpoint: The endpoint.
            address: Address of the endpoint.
            stall_seconds: See `client.ClientConnection`.
            request: Request for which it is opened, for the log of the peer.

        Raises:
            TunnelError: No tunnel was opened.
        """
        frames_address = self._host.membership.peer_address(peer)
        port = self._ports.get(peer)
        if frames_address is None or port is None:
            raise TunnelError(Failure.UNSUITABLE)
        host = frames_address.rpartition(":")[0]
        carrier = client.ClientConnection(f"{host}:{port}", None)
        try:
            async with curio.timeout_after(_OPEN_TIMEOUT_SECONDS):
                await carrier.connect(_OPEN_TIMEOUT_SECONDS)
                await carrier.send_request(
                    "CONNECT",
                    address,
                    self._fields(endpoint, address, request),
                    b"",
                )
                head = await carrier.head()
            if head.status != 200:
                raise TunnelError(_failure(head))
            connection = client.ClientConnection(address, stall_seconds)
            connection.attach(carrier.detach(), peer)
        except (client.ClientError, curio.TaskTimeout) as error:
            raise TunnelError(Failure.UNSUITABLE) from error
        finally:
            await carrier.close()
        self.open_through[peer] += 1
        connection.on_close = lambda: self._closed(peer)
        return connection

    def _closed(self, peer: ids.NodeId) -> None:
        self.open_through[peer] -= 1

    def _fields(
        self, endpoint: ids.EndpointId, address: str, request: str
    ) -> client.Fields:
        own = self._host.settings.node
        fields: client.Fields = [
            ("Host", address),
            (_ENDPOINT, endpoint),
            (_NODE, own),
            (_REQUEST, request),
        ]
        if secret := self._host.settings.secret:
            time_ms = str(wall_clock.unix_ms())
            token = _token(secret, endpoint, own, time_ms)
            fields += [(_TIME, time_ms), (_TOKEN, token)]
        return fields


def _failure(head: client.Head) -> Failure:
    try:
        return Failure(head.headers.get(_FAILURE, ""))
    except ValueError:
        return Failure.UNSUITABLE
