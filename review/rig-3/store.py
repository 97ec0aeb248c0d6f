"""Stand-in of the platform's store: `python store.py IP:PORT`.

It keeps topics of one partition in memory and answers appends, held reads and
questions for the newest records as PROTOCOL.md says.
"""

import asyncio
import base64
import json
import struct
import sys
import urllib.parse

import wire

_MAX_PAGE_BYTES = 1_000_000


class Store:
    """Topics, each a list of the contents of its records."""

    def __init__(self):
        self._topics: dict[str, list[bytes]] = {}
        self._appended = asyncio.Condition()

    async def serve(self, reader, writer) -> None:
        """Answers the calls of one connection."""
        try:
            while (request := await wire.read_request(reader)) is not None:
                writer.write(await self._handle(request))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _handle(self, request: wire.Request) -> bytes:
        path, _, text = request.target.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        records = self._topics.setdefault(query.get("topic", ""), [])
        if path == "/-/log-append":
            return await self._append(records, query, request.body)
        if path == "/-/log-read":
            return await self._read(records, query)
        if path == "/-/log-newest":
            return _newest(records)
        return wire.answer(404, {}, b"")

    async def _append(self, records, query, body) -> bytes:
        if "at" in query and int(query["at"]) != len(records):
            return _json(412, {"endOffset": len(records)})
        first = len(records)
        position = 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            position += 4
            records.append(body[position : position + length])
            position += length
        async with self._appended:
            self._appended.notify_all()
        return _json(200, {"offset": first, "endOffset": len(records)})

    async def _read(self, records, query) -> bytes:
        start = int(query["from"])
        wait_seconds = float(query.get("waitMs", 0)) / 1000
        if wait_seconds > 0:
            try:
                async with asyncio.timeout(wait_seconds), self._appended:
                    await self._appended.wait_for(lambda: len(records) > start)
            except TimeoutError:
                pass
        page = struct.pack(">QQ", len(records), 0)
        for content in records[start:]:
            if len(page) > _MAX_PAGE_BYTES:
                break
            page += struct.pack(">I", len(content)) + content
        return wire.answer(200, {}, page)


def _newest(records: list[bytes]) -> bytes:
    newest = {}
    for offset, content in enumerate(records):
        end = 1 + content[0]
        newest[content[1:end].decode()] = (offset, content[end:])
    entries = [
        {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "offset": offset,
        }
        for key, (offset, value) in sorted(newest.items())
        if value
    ]
    page = {"entries": entries, "truncated": False, "endOffset": len(records)}
    return _json(200, page)


def _json(status: int, value: dict) -> bytes:
    fields = {"Content-Type": "application/json"}
    return wire.answer(status, fields, json.dumps(value).encode())


async def _main(address: str) -> None:
    host, _, port = address.rpartition(":")
    server = await asyncio.start_server(Store().serve, host, int(port))
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(_main(sys.argv[1]))
