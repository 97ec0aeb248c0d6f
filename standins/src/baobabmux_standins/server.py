"""Small HTTP/1.1 server built on h11 and curio.

A handler can break the protocol on purpose: it may send raw bytes, or end or
reset the connection in the middle of an answer.
"""

import json
import socket
from collections.abc import Awaitable, Callable
from typing import Any
from urllib import parse

import curio.io
import h11
import msgspec

from baobabmux_standins import listener

_READ_BYTES = 65536

Headers = dict[str, str]


class Request(msgspec.Struct, frozen=True):
    """One request with its whole body.

    Attributes:
        method: HTTP method.
        path: Path without the query.
        query: First value of each query parameter.
        headers: Header fields by lower-case name.
        body: The body.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: Headers
    body: bytes

    def json(self) -> Any:
        """Returns the parsed JSON body; raises ValueError if it is invalid."""
        return json.loads(self.body)


class HangUp(Exception):  # noqa: N818 - not an error
    """Raised by a handler to end a connection before its answer is complete.

    Attributes:
        reset: Whether the connection is reset instead of closed.
    """

    def __init__(self, reset: bool = False):
        super().__init__("the handler ended the connection")
        self.reset = reset


class Reply:
    """The answer to one request, sent at once or in parts.

    Attributes:
        started: Whether the status line was written.
    """

    def __init__(self, protocol: h11.Connection, peer: curio.io.Socket):
        self._protocol = protocol
        self._peer = peer
        self.started = False

    async def json(
        self, value: Any, status: int = 200, headers: Headers | None = None
    ) -> None:
        """Sends a complete answer with a JSON body."""
        fields = {"Content-Type": "application/json", **(headers or {})}
        await self.whole(json.dumps(value).encode(), status, fields)

    async def whole(
        self, body: bytes, status: int = 200, headers: Headers | None = None
    ) -> None:
        """Sends a complete answer with the given body."""
        length = {"Content-Length": str(len(body))}
        await self.start(status, {**length, **(headers or {})})
        await self.write(body)
        await self.end()

    async def start(self, status: int, headers: Headers) -> None:
        """Sends the status line and the header section."""
        self.started = True
        await self._send(
            h11.Response(status_code=status, headers=list(headers.items()))
        )

    async def write(self, data: bytes) -> None:
        """Sends a part of the body."""
        await self._send(h11.Data(data=data))

    async def end(self) -> None:
        """Ends the body."""
        await self._send(h11.EndOfMessage())

    async def write_raw(self, data: bytes) -> None:
        """Sends bytes without HTTP framing."""
        self.started = True
        await self._peer.sendall(data)

    async def raw(self, data: bytes) -> None:
        """Sends bytes without HTTP framing and ends the connection."""
        await self.write_raw(data)
        raise HangUp

    def peer_has_left(self) -> bool:
        """Returns whether the peer has closed or reset the connection."""
        try:
            return not self._peer._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    async def _send(self, event: h11.Event) -> None:
        await self._peer.sendall(self._protocol.send(event))


Handler = Callable[[Request, Reply], Awaitable[None]]


class Server:
    """Serves HTTP at a port that the operating system chooses.

    Attributes:
        listener: Its listener, which can refuse and drop connections.
        address: IP number and port.
    """

    def __init__(self, handle: Handler):
        self._handle = handle
        self.listener = listener.Listener(self._serve_connection)
        self.address = self.listener.address

    async def start(self) -> None:
        """Starts to accept connections."""
        await self.listener.admit()

    async def close(self) -> None:
        """Resets all connections and releases the port."""
        await self.listener.close()

    async def _serve_connection(self, peer: curio.io.Socket) -> None:
        protocol = h11.Connection(h11.SERVER)
        try:
            while (request := await _read(protocol, peer)) is not None:
                await self._handle(request, Reply(protocol, peer))
                if protocol.states != {
                    h11.CLIENT: h11.DONE,
                    h11.SERVER: h11.DONE,
                }:
                    return
                protocol.start_next_cycle()
        except HangUp as hang_up:
            if hang_up.reset:
                listener.reset(peer)
        except h11.RemoteProtocolError:
            return


async def _read(
    protocol: h11.Connection, peer: curio.io.Socket
) -> Request | None:
    head: h11.Request | None = None
    body = bytearray()
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            if protocol.they_are_waiting_for_100_continue:
                interim = h11.InformationalResponse(status_code=100, headers=[])
                await peer.sendall(protocol.send(interim))
            protocol.receive_data(await peer.recv(_READ_BYTES))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            return _request(head, bytes(body))
        else:
            return None


def _request(head: h11.Request, body: bytes) -> Request:
    target = parse.urlsplit(head.target.decode("latin-1"))
    return Request(
        method=head.method.decode("ascii"),
        path=parse.unquote(target.path),
        query=dict(parse.parse_qsl(target.query)),
        headers={
            name.decode("latin-1"): value.decode("latin-1")
            for name, value in head.headers
        },
        body=body,
    )
