"""Small HTTP/1.1 client built on h11 and curio, and a blocking call.

Each request has its own connection. Refused, broken and slow connections are
results, not errors, except in the blocking `call`.
"""

import http.client
import json
from collections.abc import AsyncIterator
from typing import Any

import curio
import curio.io
import h11
import msgspec

_READ_BYTES = 65536
_TIMEOUT_SECONDS = 60.0

Headers = dict[str, str]


class Response(msgspec.Struct, frozen=True):
    """What a caller received for one request.

    Attributes:
        status: HTTP status, or 0 if no header section arrived.
        headers: Header fields by lower-case name.
        body: The part of the body that arrived.
        complete: Whether the answer arrived to its end.
        connected: Whether the connection was established.
    """

    status: int
    headers: Headers
    body: bytes
    complete: bool
    connected: bool = True

    def json(self) -> Any:
        """Returns the parsed JSON body; raises ValueError if it is invalid."""
        return json.loads(self.body)


class Event(msgspec.Struct, frozen=True):
    """One server-sent event.

    Attributes:
        number: Field `id`, or "" without one.
        data: Field `data`.
        kind: Field `event`, or "" for the default type.
    """

    number: str
    data: str
    kind: str = ""


class Exchange:
    """One request on its own connection, with the answer read in parts.

    Attributes:
        status: HTTP status, or 0 before the header section arrived.
        headers: Header fields by lower-case name.
        complete: Whether the answer arrived to its end.
    """

    def __init__(self, peer: curio.io.Socket):
        self._peer = peer
        self._protocol = h11.Connection(h11.CLIENT)
        self.status = 0
        self.headers: Headers = {}
        self.complete = False

    async def send(
        self,
        host: str,
        method: str,
        path: str,
        headers: Headers,
        body: bytes,
        http_version: str = "1.1",
    ) -> None:
        """Sends the request with its whole body."""
        fields = {
            "Host": host,
            "Content-Length": str(len(body)),
            "Connection": "close",
            **headers,
        }
        request = h11.Request(
            method=method, target=path, headers=list(fields.items())
        )
        data = self._protocol.send(request)
        data += self._protocol.send(h11.Data(data=body))
        data += self._protocol.send(h11.EndOfMessage())
        # h11 sends requests of HTTP/1.1 only.
        version = f" HTTP/{http_version}\r\n".encode()
        await self._peer.sendall(data.replace(b" HTTP/1.1\r\n", version, 1))

    async def parts(self) -> AsyncIterator[bytes]:
        """Yields the body in parts as they arrive.

        The first part is b"", when the header section has arrived. The
        iteration ends when the answer is complete or the connection breaks.
        """
        while True:
            try:
                event = self._protocol.next_event()
                if event is h11.NEED_DATA:
                    data = await self._peer.recv(_READ_BYTES)
                    self._protocol.receive_data(data)
                    continue
            except (OSError, h11.RemoteProtocolError):
                return
            if isinstance(event, h11.Response):
                self.status = event.status_code
                self.headers = {
                    name.decode("latin-1"): value.decode("latin-1")
                    for name, value in event.headers
                }
                yield b""
            elif isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.InformationalResponse):
                continue
            else:
                self.complete = isinstance(event, h11.EndOfMessage)
                return

    async def close(self) -> None:
        """Closes the connection."""
        await self._peer.close()


async def connect(address: str) -> curio.io.Socket:
    """Opens a TCP connection to an IP number and port."""
    host, port = address.rsplit(":", 1)
    return await curio.open_connection(host, int(port))


async def open_exchange(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: Headers | None = None,
) -> Exchange:
    """Connects and sends a request; the caller reads the answer."""
    exchange = Exchange(await connect(address))
    await exchange.send(address, method, path, headers or {}, body)
    return exchange


async def request(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: Headers | None = None,
    timeout_seconds: float = _TIMEOUT_SECONDS,
    http_version: str = "1.1",
) -> Response:
    """Sends a request and reads the answer until its end or a failure.

    After a refused or broken connection, or if the answer has not ended
    within `timeout_seconds`, `complete` of the response is False; the status
    is 0 if no header section arrived.
    """
    try:
        exchange = Exchange(await connect(address))
    except OSError:
        return Response(0, {}, b"", False, connected=False)
    received = bytearray()
    try:
        async with curio.timeout_after(timeout_seconds):
            await exchange.send(
                address, method, path, headers or {}, body, http_version
            )
            async for part in exchange.parts():
                received += part
    except (OSError, curio.TaskTimeout):
        pass
    await exchange.close()
    return Response(
        exchange.status, exchange.headers, bytes(received), exchange.complete
    )


def call(
    address: str,
    method: str,
    path: str,
    value: Any = None,
    headers: Headers | None = None,
    timeout_seconds: float = _TIMEOUT_SECONDS,
) -> Response:
    """Sends a request with a JSON body and blocks until the answer ends.

    Raises:
        OSError: The connection was refused, broke or timed out.
    """
    body = b"" if value is None else json.dumps(value).encode()
    connection = http.client.HTTPConnection(address, timeout=timeout_seconds)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        fields = {name.lower(): text for name, text in answer.getheaders()}
        return Response(answer.status, fields, answer.read(), True)
    except http.client.HTTPException as error:
        raise ConnectionError(str(error)) from error
    finally:
        connection.close()


def parse_events(body: bytes) -> list[Event]:
    """Splits a text/event-stream body into its complete events."""
    events = []
    for block in body.decode("utf-8", "replace").split("\n\n")[:-1]:
        fields = dict(
            line.split(": ", 1) for line in block.split("\n") if ": " in line
        )
        names = ("id", "data", "event")
        events.append(Event(*(fields.get(name, "") for name in names)))
    return events
