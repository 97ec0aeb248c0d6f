"""A small HTTP/1.1 server and client on asyncio, standard library only."""

import asyncio
import contextlib
import dataclasses

Fields = dict[str, str]


@dataclasses.dataclass
class Message:
    """One request or answer.

    Attributes:
        first: First line.
        fields: Header fields by lower-case name.
        body: Complete body.
    """

    first: str
    fields: Fields
    body: bytes = b""

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.first.split(" ")[0]

    @property
    def target(self) -> str:
        """Path and query of a request."""
        return self.first.split(" ")[1]

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.first.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Reads a header section; returns None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    first, *lines = data.decode("latin-1").strip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return Message(
        first, {name.lower(): value.strip() for name, _, value in pairs}
    )


async def read_body(reader: asyncio.StreamReader, fields: Fields) -> bytes:
    """Reads a body that has a length or comes in chunks."""
    if "chunked" in fields.get("transfer-encoding", ""):
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return body
    return await reader.readexactly(int(fields.get("content-length", 0)))


def encode(first: str, fields: Fields, body: bytes) -> bytes:
    """Returns the bytes of a message whose body has a length."""
    lines = [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([first, *lines, "", ""]).encode("latin-1") + body


def answer(status: int, body: bytes = b"", **fields: str) -> bytes:
    """Returns the bytes of an answer; `_` stands for `-` in names."""
    named = {name.replace("_", "-"): value for name, value in fields.items()}
    return encode(f"HTTP/1.1 {status} Status", named, body)


class Server:
    """Base class of servers; `handle` answers one request at a time.

    Attributes:
        address: IP number and port.
    """

    def __init__(self):
        self.address = ""
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int = 0) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(self._accept, host, port)
        number = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{number}"

    async def stop(self) -> None:
        """Closes the listener and resets all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def _accept(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            with contextlib.suppress(RuntimeError):
                writer.close()

    async def serve(self, reader, writer) -> None:
        """Serves one connection to its end."""
        while (request := await read_head(reader)) is not None:
            request.body = await read_body(reader, request.fields)
            await self.handle(request, reader, writer)
            await writer.drain()

    async def handle(self, request, reader, writer) -> None:
        """Answers one request."""
        raise NotImplementedError


async def call(
    address: str, method: str, target: str, fields: Fields, seconds: float
) -> Message | None:
    """Makes one request without a body; returns None without an answer."""
    return (await exchange(address, method, target, fields, b"", seconds))[0]


async def exchange(
    address: str,
    method: str,
    target: str,
    fields: Fields,
    body: bytes,
    seconds: float,
) -> tuple[Message | None, bool]:
    """Makes one request on a new connection.

    Returns:
        The complete answer, or None if the connection ended before it or the
        time was up, and whether the request was sent.
    """
    host, _, port = address.rpartition(":")
    writer = None
    is_sent = False
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(encode(f"{method} {target} HTTP/1.1", fields, body))
            await writer.drain()
            is_sent = True
            found = await read_head(reader)
            if found is not None:
                found.body = await read_body(reader, found.fields)
            return found, is_sent
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return None, is_sent
    finally:
        if writer is not None:
            writer.close()


async def stream(
    address: str, target: str, fields: Fields, seconds: float
) -> tuple[int, float, list[str], bool]:
    """Makes one request whose answer is a stream of events.

    Returns:
        The status (0 without one), `Retry-After` in seconds, the lines of the
        complete events that have arrived, and whether the stream has ended.
    """
    host, _, port = address.rpartition(":")
    status, retry_after, text, is_whole = 0, 0.0, "", False
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(encode(f"POST {target} HTTP/1.1", fields, b"{}"))
            head = await read_head(reader)
            if head is not None:
                status = head.status
                retry_after = float(head.fields.get("retry-after", 0))
                while size := int(
                    (await reader.readline()).strip() or b"0", 16
                ):
                    text += (await reader.readexactly(size)).decode()
                    await reader.readline()
                is_whole = status == 200
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        pass
    finally:
        if writer is not None:
            writer.close()
    events = text.rpartition("\n\n")[0] if status == 200 else ""
    return status, retry_after, events.split("\n"), is_whole
