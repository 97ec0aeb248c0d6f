"""Stand-in of a replica: `python replica.py SETTINGS`, a JSON text.

It registers itself in the store, writes there every 1.2 s, and answers as
PROTOCOL.md says. After SIGUSR1 its entry is removed and it serves on. Each run
is a line of JSON on standard output. What it does wrong stands in the settings
under `trouble`.
"""

import asyncio
import json
import signal
import struct
import sys
import time

import wire

_HEARTBEAT_SECONDS = 1.2
# Part that is repeated, by what the bytes look like.
_FLOODS = {
    "interim": b"HTTP/1.1 103 Early Hints\r\n\r\n",
    "chunks": b"1\r\nx\r\n",
}
_FLOOD_BLOCK_BYTES = 12_000
_FLOOD_PAUSE_SECONDS = 0.002


class Replica:
    """A replica of one service.

    Settings: `name`, `service`, `address`, `store`, `zone`, `slots`,
    `work_seconds`, `events`, `event_seconds`, `first_event` and `trouble`.
    """

    def __init__(self, settings: dict):
        self._settings = settings
        self._trouble = settings.get("trouble", {})
        self._started = time.monotonic()
        self._slots = asyncio.Semaphore(settings.get("slots", 6))
        self.leaving = asyncio.Event()
        self._requests = 0
        self._troubled = 0

    # Registration.

    async def register(self) -> None:
        """Writes the replica's entry until it leaves."""
        sequence = 0
        while not self.leaving.is_set():
            sequence += 1
            entry = {
                "service": self._settings["service"],
                "address": self._settings["address"],
                "zone": self._settings["zone"],
                "version": "v1",
                "slots": self._settings.get("slots", 6),
                "state": "ready",
                "warmupLeftMs": 0,
                "sequence": sequence,
            }
            await self._write(json.dumps(entry).encode())
            try:
                async with asyncio.timeout(_HEARTBEAT_SECONDS):
                    await self.leaving.wait()
            except TimeoutError:
                continue
        # The platform removes the entry of a replica that leaves unannounced.
        await self._write(b"")
        print(json.dumps({"at": time.time(), "removed": True}), flush=True)

    async def _write(self, value: bytes) -> None:
        key = self._settings["name"].encode()
        record = bytes([len(key)]) + key + value
        await self._append(struct.pack(">I", len(record)) + record)

    async def _append(self, body: bytes) -> None:
        host, _, port = self._settings["store"].rpartition(":")
        target = "/-/log-append?topic=keyed.servers&part=0"
        head = (
            f"POST {target} HTTP/1.1\r\nHost: {host}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head.encode() + body)
            await reader.readuntil(b"\r\n\r\n")
            writer.close()
        except (OSError, asyncio.IncompleteReadError):
            pass

    # Requests.

    async def serve(self, reader, writer) -> None:
        """Answers the requests of one connection."""
        try:
            while (request := await wire.read_request(reader)) is not None:
                if not await self._handle(request, writer):
                    break
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _handle(self, request: wire.Request, writer) -> bool:
        """Answers a request; returns whether the connection is kept."""
        headers = request.headers
        echo = {"X-Request-Id": headers.get("x-request-id", "")}
        if headers.get("x-expect-instance") != self._settings["name"]:
            writer.write(wire.answer(421, echo, b""))
            return True
        if "x-request-id" not in headers:
            refusal = {**echo, "X-Not-Executed": "1"}
            writer.write(wire.answer(400, refusal, b""))
            return True
        async with self._slots:
            return await self._run(request, echo, writer)

    async def _run(self, request, echo, writer) -> bool:
        headers = request.headers
        self._requests += 1
        print(
            json.dumps(
                {
                    "at": time.time(),
                    "run": echo["X-Request-Id"],
                    "by": self._settings["name"],
                    "after": headers.get("last-event-id"),
                    "path": request.target,
                }
            ),
            flush=True,
        )
        echo["X-Server-Stamp"] = f"stamp.{self._settings['name']}"
        kind = self._trouble.get("kind") if self._is_troubled() else None
        if "x-token-count" in headers:
            return await self._stream(request, echo, writer)
        await asyncio.sleep(self._settings.get("work_seconds", 0.03))
        if kind == "flood":
            await self._flood(writer, echo)
            return False
        if kind == "status":
            status = self._trouble["status"]
            writer.write(wire.answer(status, echo, b"it failed"))
            return True
        body = json.dumps({"by": self._settings["name"]}).encode()
        writer.write(wire.answer(200, echo, body))
        await writer.drain()
        return True

    def _is_troubled(self) -> bool:
        """Returns whether this request is one that goes wrong."""
        trouble = self._trouble
        every = trouble.get("every")
        if not every or self._requests % every:
            return False
        since = time.monotonic() - self._started
        if not trouble["from"] <= since < trouble["until"]:
            return False
        self._troubled += 1
        return self._troubled <= trouble.get("count", 1_000_000)

    async def _flood(self, writer, echo) -> None:
        """Sends bytes that do not end an answer for some seconds."""
        part = _FLOODS[self._trouble["bytes"]]
        block = part * (_FLOOD_BLOCK_BYTES // len(part))
        if self._trouble["bytes"] == "chunks":
            lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked"]
            lines += [f"{name}: {value}" for name, value in echo.items()]
            writer.write("\r\n".join([*lines, "", ""]).encode())
        started = time.monotonic()
        sent = 0
        while (elapsed := time.monotonic() - started) < self._trouble[
            "seconds"
        ]:
            if sent < elapsed * self._trouble["bytes_per_second"]:
                writer.write(block)
                sent += len(block)
                await writer.drain()
            else:
                await asyncio.sleep(_FLOOD_PAUSE_SECONDS)
        line = {"at": time.time(), "flood": self._settings["name"]}
        print(json.dumps({**line, "bytes": sent}), flush=True)

    async def _stream(self, request, echo, writer) -> bool:
        """Sends the events of a stream, or those after `Last-Event-Id`."""
        first = self._settings.get("first_event", 1)
        events = self._settings.get("events", 20)
        after = int(request.headers.get("last-event-id", first - 1))
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in echo.items()]
        lines += ["Transfer-Encoding: chunked", "", ""]
        writer.write("\r\n".join(lines).encode())
        for number in range(max(first, after + 1), first + events):
            await asyncio.sleep(self._settings.get("event_seconds", 0.05))
            event = b"id: %d\ndata: piece-%d\n\n" % (number, number - first)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


async def _main(settings: dict) -> None:
    replica = Replica(settings)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, replica.leaving.set)
    host, _, port = settings["address"].rpartition(":")
    server = await asyncio.start_server(replica.serve, host, int(port))
    async with server:
        await asyncio.gather(replica.register(), server.serve_forever())


if __name__ == "__main__":
    asyncio.run(_main(json.loads(sys.argv[1])))
