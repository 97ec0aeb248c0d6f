"""Stand-ins of the platform's store and of its replicas."""

import asyncio
import base64
import json
import struct
import time
import urllib.parse

from rig import web

_STORE_SECONDS = 0.004


class Store(web.Server):
    """A log of topics with one partition each.

    Attributes:
        topics: Records (key, value) by topic; keys are empty in plain topics.
        on_call: Called with the operation and the topic of each call.
        era: Value of `Store-Era`.
        is_away: Whether it resets all connections.
    """

    def __init__(self):
        super().__init__()
        self.topics: dict[str, list[tuple[str, bytes]]] = {}
        self.on_call = lambda operation, topic: None
        self.era = 1
        self.is_away = False
        # Times of the records on the monotonic clock.
        self._times: dict[str, list[float]] = {}
        self._appended = asyncio.Condition()

    async def put(self, topic: str, key: str, value: bytes) -> float:
        """Writes a record of a keyed topic; returns the time on the clock."""
        async with self._appended:
            self._add(topic, key, value)
            self._appended.notify_all()
        return time.monotonic()

    def _add(self, topic: str, key: str, value: bytes) -> None:
        self.topics.setdefault(topic, []).append((key, value))
        self._times.setdefault(topic, []).append(time.monotonic())

    async def leave(self) -> None:
        """Goes away: resets all connections until `come_back`."""
        self.is_away = True
        for writer in list(self._writers):
            writer.transport.abort()

    async def come_back(self, copied_at: float) -> dict[str, int]:
        """Comes back from a copy.

        Args:
            copied_at: Time of the copy on the monotonic clock.

        Returns:
            The number of records that are gone, by topic.
        """
        gone = {}
        for topic, times in self._times.items():
            kept = sum(at <= copied_at for at in times)
            gone[topic] = len(times) - kept
            del self.topics[topic][kept:], times[kept:]
        self.era += 1
        self.is_away = False
        return gone

    async def handle(self, request, reader, writer) -> None:
        """Answers appends, reads and queries for the newest records."""
        path, _, text = request.target.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        topic = query.get("topic", "")
        operation = path.removeprefix("/-/")
        self.on_call(operation, topic)
        await asyncio.sleep(_STORE_SECONDS)
        if self.is_away:
            writer.transport.abort()
            return
        if operation == "log-append":
            data = await self._append(topic, query, request.body)
        elif operation == "log-read":
            data = await self._read(topic, query)
        elif operation == "log-newest":
            data = self._newest(topic, query.get("after", ""))
        else:
            data = web.answer(404)
        if self.is_away:
            writer.transport.abort()
            return
        head, _, rest = data.partition(b"\r\n")
        writer.write(b"%b\r\nStore-Era: %d\r\n%b" % (head, self.era, rest))

    async def _append(self, topic: str, query: dict, body: bytes) -> bytes:
        records = self.topics.setdefault(topic, [])
        self._times.setdefault(topic, [])
        first = len(records)
        if query.get("at") not in (None, str(first)):
            return _json({"endOffset": first}, 412)
        contents = []
        while body:
            (length,) = struct.unpack_from(">I", body)
            contents.append(body[4 : 4 + length])
            body = body[4 + length :]
        async with self._appended:
            for content in contents:
                key, value = "", content
                if topic.startswith("keyed."):
                    key = content[1 : 1 + content[0]].decode()
                    value = content[1 + content[0] :]
                self._add(topic, key, value)
            self._appended.notify_all()
        return _json({"offset": first, "endOffset": len(records)})

    async def _read(self, topic: str, query: dict) -> bytes:
        records = self.topics.setdefault(topic, [])
        start = int(query["from"])
        if start > len(records):
            return _json({"firstOffset": 0}, 410)
        wait_seconds = min(float(query.get("waitMs", 0)) / 1000, 30.0)
        try:
            async with asyncio.timeout(wait_seconds):
                async with self._appended:
                    await self._appended.wait_for(lambda: len(records) > start)
        except TimeoutError:
            pass
        body = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            content = value
            if topic.startswith("keyed."):
                content = bytes([len(key)]) + key.encode() + value
            body += struct.pack(">I", len(content)) + content
        return web.answer(200, body)

    def _newest(self, topic: str, after: str) -> bytes:
        records = self.topics.get(topic, [])
        newest = {key: (n, value) for n, (key, value) in enumerate(records)}
        entries = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (offset, value) in sorted(newest.items())
            if value and key > after
        ]
        return _json(
            {
                "entries": entries,
                "truncated": False,
                "endOffset": len(records),
            }
        )


class Replica(web.Server):
    """A replica that answers whole requests and event streams.

    Attributes:
        name: Its id.
        service: Its service.
        events: Events of a stream.
        work_seconds: Work before a whole answer, or before each event.
        arrivals: Requests that reached it, with their times.
    """

    def __init__(self, name: str, service: str, slots: int):
        super().__init__()
        self.name = name
        self.service = service
        self.slots = slots
        self.events = 8
        self.work_seconds = 0.045
        self.version = "v1"
        self.born = int(time.time() * 1000)
        self.arrivals: list[dict] = []
        self._places = asyncio.Semaphore(slots)

    def entry(self, state: str = "ready") -> bytes:
        """Returns its record in the store."""
        values = {
            "service": self.service,
            "address": self.address,
            "zone": "col-a",
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "warmupLeftMs": 0,
            "sequence": 1,
            "born": self.born,
        }
        return json.dumps(values).encode()

    async def handle(self, request, reader, writer) -> None:
        """Runs a request that is meant for this replica."""
        fields = request.fields
        request_id = fields.get("x-request-id", "")
        run = {
            "at": time.monotonic(),
            "request": request_id,
            "method": request.method,
            "by": self.name,
            "after": fields.get("last-event-id", ""),
            "ran": False,
            "done": None,
        }
        self.arrivals.append(run)
        if fields.get("x-expect-instance", self.name) != self.name:
            run["status"] = 421
            writer.write(
                web.answer(
                    421, X_Request_Id=request_id, X_Not_Executed="misdirected"
                )
            )
            return
        async with self._places:
            run["ran"] = True
            if "x-token-count" in fields:
                await self._stream(request, writer, run)
            else:
                await asyncio.sleep(self.work_seconds)
                writer.write(
                    web.answer(
                        200,
                        f"{self.name} {request_id}".encode(),
                        X_Request_Id=request_id,
                        X_Server_Stamp=f"stamp.{self.name}",
                    )
                )
            run["status"] = 200
            run["done"] = time.monotonic()

    async def _stream(self, request, writer, run) -> None:
        first = int(request.fields.get("last-event-id") or 0) + 1
        writer.write(
            (
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                f"X-Request-Id: {run['request']}\r\n"
                f"X-Server-Stamp: stamp.{self.name}\r\n"
                "Transfer-Encoding: chunked\r\n\r\n"
            ).encode()
        )
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.work_seconds)
            event = f"id: {number}\ndata: {self.version} w{number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


def _json(value, status: int = 200) -> bytes:
    return web.answer(
        status, json.dumps(value).encode(), Content_Type="application/json"
    )


def configuration(
    version: int,
    timeouts: dict[str, int] | None = None,
    targets: dict[str, int] | None = None,
    **changes,
) -> bytes:
    """Returns the operator's record: a stream, a safe and an unsafe route.

    Args:
        version: Its version.
        timeouts: Values of `timeoutMs` by route, in place of the usual ones.
        targets: Values of `targetLatencyMs` by route, likewise.
        **changes: Other fields of the record.
    """
    route = {
        "hostname": "desk.example",
        "timeoutMs": 2500,
        "targetLatencyMs": 200,
        "priority": 0,
        "maxAttempts": 2,
        "anonymous": False,
    }
    value = {
        "version": version,
        "routes": [
            {
                **route,
                "name": "draft",
                "pathPrefix": "/draft/",
                "routeType": "stream",
                "service": "lm-pool",
                "streamResume": True,
                "timeoutMs": 15000,
                "targetLatencyMs": 800,
                "gapTargetMs": 400,
                "sessionAffinity": True,
            },
            {
                **route,
                "name": "lookup",
                "pathPrefix": "/lookup/",
                "routeType": "safe",
                "service": "desk-app",
            },
            {
                **route,
                "name": "notice",
                "pathPrefix": "/notice/",
                "routeType": "unsafe",
                "service": "desk-app",
                "maxAttempts": 1,
            },
        ],
        "services": [
            {
                "name": "lm-pool",
                "healthPath": "/healthz",
                "maxConnections": 370,
                "protocol": "h1",
                "tls": False,
                "engine": {"slots": 10, "kvCapacity": 630_343, "stride": 6},
            },
            {
                "name": "desk-app",
                "healthPath": "/healthz",
                "maxConnections": 110,
                "protocol": "h1",
                "tls": False,
            },
        ],
        "limits": {
            "maxHeaderBytes": 8192,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [
            {
                "name": "bank-a",
                "apiKeys": ["key-a"],
                "priority": 1,
                "unit": "tokens",
                "plainTokens": 200,
                "ratePerS": 0,
                "burst": 0,
            }
        ],
        **changes,
    }
    for one in value["routes"]:
        one["timeoutMs"] = (timeouts or {}).get(one["name"], one["timeoutMs"])
        one["targetLatencyMs"] = (targets or {}).get(
            one["name"], one["targetLatencyMs"]
        )
    return json.dumps(value).encode()


class Link(web.Server):
    """Carries the connections of one machine to a server.

    While it is cut, bytes are held up in both directions; they arrive once the
    cut has healed.

    Attributes:
        on_sent: Called with the bytes of the machine that are passed on.
    """

    def __init__(self, target: str):
        super().__init__()
        self.on_sent = lambda data: None
        self._target = target
        self._is_sound = asyncio.Event()
        self._is_sound.set()

    def cut(self) -> None:
        """Holds up all bytes from now on."""
        self._is_sound.clear()

    def heal(self) -> None:
        """Lets all bytes pass."""
        self._is_sound.set()

    async def handle(self, request, reader, writer) -> None:
        """Does nothing: whole connections are carried."""

    async def serve(self, reader, writer) -> None:
        """Carries one connection until either side ends it."""
        host, _, port = self._target.rpartition(":")
        await self._is_sound.wait()
        answers, requests = await asyncio.open_connection(host, int(port))
        ways = (
            self._carry(reader, requests, sent=True),
            self._carry(answers, writer, sent=False),
        )
        tasks = [asyncio.ensure_future(way) for way in ways]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            requests.close()

    async def _carry(self, reader, writer, *, sent: bool) -> None:
        while data := await reader.read(65_536):
            await self._is_sound.wait()
            writer.write(data)
            await writer.drain()
            if sent:
                self.on_sent(data)
