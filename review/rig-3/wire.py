"""HTTP/1.1 on asyncio for the stand-ins of the third review."""

import asyncio
import dataclasses


@dataclasses.dataclass
class Request:
    """One request that a stand-in has read whole.

    Attributes:
        method: HTTP method.
        target: Path and query as sent.
        headers: Header fields by lower-case name, each with its last value.
        body: Body.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Reads a request with a length; returns None at the end of input."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        line, *fields = head.decode("latin-1").rstrip("\r\n").split("\r\n")
        method, target, _ = line.split(" ", 2)
        headers = {}
        for field in fields:
            name, _, value = field.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return Request(method, target, headers, body)


def answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Returns the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} -"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body
