"""Stand-ins of a small deployment, and a supervisor of the nodes.

The store, the replicas and the clients run in one asyncio process. The nodes
are separate processes that are started with the command of the deploy file.
Only the standard library is used. All addresses are loopback addresses.
"""

import asyncio
import base64
import collections
import contextlib
import itertools
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import struct
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
METRICS_PORT = 9464
HOST = "desk.example"
KEY = "key-a"
TENANT = "bank-a"
BEAT_SECONDS = 1.2
RESTART_SECONDS = 0.5


def trouble() -> bool:
    """Returns whether the disruption takes place."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_host() -> str:
    """Returns a loopback address at which the metrics port is free."""
    for _ in range(50):
        numbers = (str(random.randrange(2, 250)) for _ in range(3))
        host = "127." + ".".join(numbers)
        with contextlib.suppress(OSError):
            socket.create_server((host, METRICS_PORT)).close()
            return host
    raise OSError("no free loopback address")


def free_ports(host: str, count: int) -> list[int]:
    """Returns different free ports of an address, in ascending order."""
    with contextlib.ExitStack() as stack:
        listeners = [
            stack.enter_context(socket.create_server((host, 0)))
            for _ in range(count)
        ]
        return sorted(one.getsockname()[1] for one in listeners)


class Record:
    """Lines of `record.txt`: what was sent, answered and run."""

    def __init__(self, folder: pathlib.Path):
        self._file = (folder / "record.txt").open("w")
        self._started = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the script began."""
        return time.monotonic() - self._started

    def add(self, text: str) -> None:
        """Adds a line with its time."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


class Head:
    """First line and header fields of a message."""

    def __init__(self, raw: bytes):
        lines = raw.decode("latin-1").split("\r\n")
        self.first = lines[0]
        self.fields = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if colon:
                self.fields[name.strip().lower()] = value.strip()

    def get(self, name: str, default: str = "") -> str:
        """Returns a header field."""
        return self.fields.get(name, default)


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Reads a head; returns None if the connection ends before it."""
    try:
        return Head(await reader.readuntil(b"\r\n\r\n"))
    except (asyncio.IncompleteReadError, OSError):
        return None


def head_bytes(first: str, fields: dict[str, object]) -> bytes:
    """Returns the bytes of a head."""
    lines = [first, *(f"{name}: {value}" for name, value in fields.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class Server:
    """An HTTP/1.1 server on a loopback address."""

    def __init__(self):
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listens."""
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=8_000_000
        )
        taken = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{taken}"

    async def stop(self) -> None:
        """Stops listening and resets all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                length = int(head.get("content-length", "0"))
                body = await reader.readexactly(length)
                if not await self.handle(head, body, writer):
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    async def handle(self, head: Head, body: bytes, writer) -> bool:
        """Answers a request; returns whether the connection is kept."""
        raise NotImplementedError


async def answer(
    writer, status: int, fields: dict[str, object], body: bytes
) -> None:
    """Sends a whole answer."""
    reasons = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Failed"}
    reason = reasons.get(status, "Status")
    fields = {**fields, "Content-Length": len(body)}
    writer.write(head_bytes(f"HTTP/1.1 {status} {reason}", fields) + body)
    await writer.drain()


class Store(Server):
    """The platform's store: topics with one partition each.

    Attributes:
        topics: Contents of the records of each topic.
        appends: Time, topic and key of each append by a node.
    """

    def __init__(self):
        super().__init__()
        self.topics: dict[str, list[bytes]] = collections.defaultdict(list)
        self.appends: list[tuple[float, str, str]] = []
        self.era = 1
        self.is_down = False
        self._copies: list[tuple[float, dict[str, int]]] = []
        self._changed = asyncio.Event()

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Writes a record on behalf of the operator or of a replica."""
        if not self.is_down:
            name = key.encode()
            self._append(topic, bytes([len(name)]) + name + value)

    def _append(self, topic: str, content: bytes) -> None:
        self.topics[topic].append(content)
        self._changed.set()
        self._changed = asyncio.Event()

    def ends(self) -> dict[str, int]:
        """Returns the end offset of each topic."""
        return {topic: len(records) for topic, records in self.topics.items()}

    def take_copy(self) -> None:
        """Takes the copy from which a drill brings the store back."""
        self._copies.append((time.monotonic(), self.ends()))

    def go_down(self) -> None:
        """Answers nothing more; all connections are reset."""
        self.is_down = True
        for writer in list(self._writers):
            writer.transport.abort()

    def come_back(self, ends: dict[str, int] | None = None) -> None:
        """Serves again, after a drill from a copy with these end offsets."""
        if ends is not None:
            for topic, records in self.topics.items():
                del records[ends.get(topic, 0) :]
            self.era += 1
        self.is_down = False

    async def handle(self, head: Head, body: bytes, writer) -> bool:
        """Answers a call; see `PROTOCOL.md`."""
        if self.is_down:
            return False
        target = head.first.split()[1]
        path, _, text = target.partition("?")
        query = {}
        for part in text.split("&"):
            name, _, value = part.partition("=")
            query[name] = value
        topic = query.get("topic", "")
        era = {"Store-Era": self.era}
        if path == "/-/log-append":
            await self._handle_append(topic, query, body, era, writer)
        elif path == "/-/log-read":
            await self._handle_read(topic, query, era, writer)
        elif path == "/-/log-newest":
            await self._handle_newest(topic, era, writer)
        else:
            await answer(writer, 404, era, b"{}")
        return True

    async def _handle_append(self, topic, query, body, era, writer) -> None:
        await asyncio.sleep(0.004)
        if self.is_down:
            raise ConnectionResetError
        first = len(self.topics[topic])
        if "at" in query and int(query["at"]) != first:
            text = json.dumps({"endOffset": first}).encode()
            await answer(writer, 412, era, text)
            return
        position = 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            content = body[position + 4 : position + 4 + length]
            position += 4 + length
            key = ""
            if topic.startswith("keyed."):
                key = content[1 : 1 + content[0]].decode("latin-1")
            self.appends.append((time.monotonic(), topic, key))
            self._append(topic, content)
        end = len(self.topics[topic])
        text = json.dumps({"offset": first, "endOffset": end}).encode()
        await answer(writer, 200, era, text)

    async def _handle_read(self, topic, query, era, writer) -> None:
        start = int(query["from"])
        until = time.monotonic() + float(query.get("waitMs", "0")) / 1000
        if start > len(self.topics[topic]):
            await answer(writer, 410, era, b'{"firstOffset":0}')
            return
        while len(self.topics[topic]) <= start:
            left = until - time.monotonic()
            if left <= 0:
                break
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)
            if self.is_down:
                raise ConnectionResetError
        records = self.topics[topic]
        data = struct.pack(">QQ", len(records), 0)
        for content in records[start:]:
            data += struct.pack(">I", len(content)) + content
        await answer(writer, 200, era, data)

    async def _handle_newest(self, topic, era, writer) -> None:
        newest = {}
        for offset, content in enumerate(self.topics[topic]):
            key = content[1 : 1 + content[0]].decode()
            newest[key] = (offset, content[1 + content[0] :])
        entries = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (offset, value) in sorted(newest.items())
            if value
        ]
        text = json.dumps(
            {
                "entries": entries,
                "truncated": False,
                "endOffset": len(self.topics[topic]),
            }
        ).encode()
        await answer(writer, 200, era, text)


class Replica(Server):
    """A sound replica of a service.

    A request with `X-Token-Count` is answered by a stream, any other one by a
    whole answer.

    Attributes:
        name: Its identifier.
        service: Its service.
        zone: Its zone.
        version: Version of its software.
        state: "ready" or "draining".
        runs: Time, request, tenant and tokens of each run.
        completed: Requests whose answers were sent whole.
        first_seconds: Time to the first event, or to a whole answer.
        events: Events of a stream.
        gap_seconds: Time between two events.
    """

    def __init__(self, record: Record, name: str, service: str, **fields):
        super().__init__()
        self.name = name
        self.service = service
        self.zone = fields.pop("zone", "col-a")
        self.version = fields.pop("version", "v1")
        self.slots = fields.pop("slots", 10)
        self.first_seconds = fields.pop("first_seconds", 0.03)
        self.events = fields.pop("events", 20)
        self.gap_seconds = fields.pop("gap_seconds", 0.03)
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs: list[tuple[float, str, str, int]] = []
        self.completed: set[str] = set()
        self.has_ended = False
        self._record = record

    def entry(self) -> bytes:
        """Returns its entry in the store."""
        self.sequence += 1
        values = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "warmupLeftMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        return json.dumps(values).encode()

    async def beat(self, store: Store) -> None:
        """Writes its entry at each beat."""
        while not self.has_ended:
            store.put("keyed.servers", self.name, self.entry())
            await asyncio.sleep(BEAT_SECONDS)

    async def handle(self, head: Head, body: bytes, writer) -> bool:
        """Runs a request, unless it is meant for another replica."""
        echo = {"X-Request-Id": head.get("x-request-id")}
        if head.get("x-expect-instance", self.name) != self.name:
            fields = {**echo, "X-Instance-Id": self.name}
            await answer(writer, 421, fields, b"{}")
            return True
        request = head.get("x-request-id")
        prompt, _, output = head.get("x-token-count", "0,0").partition(",")
        tokens = int(prompt) + int(output)
        self.runs.append(
            (time.monotonic(), request, head.get("x-tenant"), tokens)
        )
        self._record.add(f"run {self.name} {request} tokens {tokens}")
        echo["X-Server-Stamp"] = f"stamp.{self.name}.{request}"
        await asyncio.sleep(self.first_seconds)
        if "x-token-count" in head.fields:
            await self._stream(head, echo, writer)
        else:
            text = json.dumps({"by": self.name, "request": request})
            await answer(writer, 200, echo, text.encode())
        self.completed.add(request)
        return True

    async def _stream(self, head: Head, echo, writer) -> None:
        fields = {
            **echo,
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(head_bytes("HTTP/1.1 200 OK", fields))
        first = int(head.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: {self.version}.{number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            if number < self.events:
                await asyncio.sleep(self.gap_seconds)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Answer:
    """Answer to a client.

    Attributes:
        status: Status, or 0 without a head.
        body: Body as far as it arrived.
        is_complete: Whether the answer is whole.
        error: Why it is not.
        fields: Header fields.
    """

    def __init__(self):
        self.status = 0
        self.body = b""
        self.is_complete = False
        self.error = ""
        self.fields: dict[str, str] = {}


class Connection:
    """A kept connection of a client.

    Attributes:
        answered: Whole answers so far.
    """

    def __init__(self, address: str):
        self.address = address
        self.answered = 0
        self.is_open = False
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Opens the connection within a second."""
        host, _, port = self.address.rpartition(":")
        opening = asyncio.open_connection(host, int(port))
        self._reader, self._writer = await asyncio.wait_for(opening, 1.0)
        self.is_open = True

    def close(self) -> None:
        """Closes the connection."""
        self.is_open = False
        if self._writer is not None:
            self._writer.close()

    async def call(
        self,
        path: str,
        fields: dict[str, object],
        body: bytes = b"{}",
        timeout: float = 20.0,
        upload_seconds: float = 0.0,
    ) -> Answer:
        """Sends a request and reads its answer.

        Args:
            path: Path and query.
            fields: Header fields; the length of the body is added.
            body: Body.
            timeout: Seconds until the client gives up.
            upload_seconds: Time between the first and the last half of the
                body.
        """
        got = Answer()
        fields = {"Host": HOST, **fields, "Content-Length": len(body)}
        half = len(body) // 2 if upload_seconds else len(body)
        try:
            if not self.is_open:
                await self.connect()
            head = head_bytes(f"POST {path} HTTP/1.1", fields)
            self._writer.write(head + body[:half])
            await asyncio.sleep(upload_seconds)
            self._writer.write(body[half:])
            async with asyncio.timeout(timeout):
                await self._writer.drain()
                await self._read(got)
        except (
            OSError,
            TimeoutError,
            ValueError,
            asyncio.IncompleteReadError,
        ) as error:
            got.error = type(error).__name__
        if got.is_complete:
            self.answered += 1
        if not got.is_complete or "close" in got.fields.get("connection", ""):
            self.close()
        return got

    async def _chunk_size(self) -> int:
        line = await self._reader.readline()
        if not line.endswith(b"\n"):
            raise ConnectionResetError("the answer broke off")
        return int(line, 16)

    async def _read(self, got: Answer) -> None:
        head = await read_head(self._reader)
        if head is None:
            raise ConnectionResetError("no answer")
        got.status = int(head.first.split()[1])
        got.fields = head.fields
        if "chunked" in head.get("transfer-encoding"):
            while size := await self._chunk_size():
                got.body += await self._reader.readexactly(size)
                await self._reader.readexactly(2)
            await self._reader.readexactly(2)
        else:
            length = int(head.get("content-length", "0"))
            got.body = await self._reader.readexactly(length)
        got.is_complete = True


def events(body: bytes) -> list[tuple[int, str]]:
    """Returns number and text of each whole event of a stream."""
    found = []
    for event in body.decode().split("\n\n")[:-1]:
        lines = dict(line.split(": ", 1) for line in event.split("\n"))
        found.append((int(lines["id"]), lines["data"]))
    return found


def fields_of(
    request: str, deadline_ms: int = 8000, key: str = KEY
) -> dict[str, object]:
    """Returns the header fields of a request with a key."""
    return {
        "X-Request-Id": request,
        "X-Deadline-Ms": deadline_ms,
        "Authorization": f"Bearer {key}",
    }


def stream_fields(request: str, tokens: str = "6610,384") -> dict[str, object]:
    """Returns the header fields of a stream request."""
    prompt = tokens.partition(",")[0]
    return {
        **fields_of(request, 15_000),
        "X-Model": "m",
        "X-Token-Count": tokens,
        "X-Prompt-Prefix": f"5c1e07a2:60,{request}:{max(1, int(prompt) - 60)}",
    }


def configuration(version: int, **changes) -> dict:
    """Returns a configuration with a route of each kind."""
    route = {
        "hostname": HOST,
        "priority": 0,
        "anonymous": False,
        "maxAttempts": 2,
    }
    stream = {
        "routeType": "stream",
        "service": "lm-pool",
        "sessionAffinity": True,
        "targetLatencyMs": 800,
        "gapTargetMs": 400,
        "timeoutMs": 15_000,
    }
    plain = {"service": "desk-app", "targetLatencyMs": 200, "timeoutMs": 2500}
    return {
        "version": version,
        "routes": [
            {
                **route,
                **stream,
                "name": "wording-draft",
                "pathPrefix": "/draft/",
                "streamResume": True,
            },
            {
                **route,
                **plain,
                "name": "ref-lookup",
                "pathPrefix": "/lookup/",
                "routeType": "safe",
            },
            {
                **route,
                **plain,
                "name": "status-notice",
                "pathPrefix": "/notice/",
                "routeType": "unsafe",
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
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [
            {
                "name": TENANT,
                "apiKeys": [KEY],
                "priority": 1,
                "unit": "tokens",
                "plainTokens": 200,
                "ratePerS": 110_658,
                "burst": 110_658,
            },
        ],
        **changes,
    }


BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableWindowMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "outerMs": 5000,
    "revokeFailClosed": False,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "retryWindowS": 10,
    "retrySlack": 56,
    "quotaWindowS": 8,
    "quotaOverrun": 0.1,
    "quotaSlack": 140_000,
    "recoverS": 12,
    "passMs": 120,
    "reuseWindowS": 10,
}
CONTRACTS = (
    "base drain config cost retry recover engine stream tenants quota platform"
)


class Node:
    """One node, restarted after a short delay when it ends by itself.

    Attributes:
        name: Its name.
        ends: Time and exit code of each end that the supervisor did not cause.
        starts: Number of starts.
    """

    def __init__(self, site: "Site", name: str, zone: str):
        self.name = name
        self.zone = zone
        self.host = free_host()
        self.ends: list[tuple[float, int]] = []
        self.starts = 0
        self._site = site
        self._ports = free_ports(self.host, 4)
        self._process: asyncio.subprocess.Process | None = None
        self._stopping = False
        self.frontend = f"{self.host}:{self._ports[0]}"
        self._ready = f"{self.host}:{self._ports[1]}"
        self._task: asyncio.Task | None = None
        self.settings = {
            "nodeName": name,
            "role": "node",
            "machineClass": "edge",
            "serves": ["edge"],
            "ip": self.host,
            "zone": zone,
            "region": "colombo",
            "zones": {"col-a": "colombo", "col-b": "colombo"},
            "listen": {"frontend": self.frontend, "ready": self._ready},
            "internalPorts": self._ports[2:],
            "seeds": [],
            "bootstrap": True,
            "inTolerance": False,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1200,
            "contracts": CONTRACTS.split(),
            "faultTolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": site.store.address,
                "form": "log",
                "writesPerS": 400,
                "readsPerS": 2000,
                "parts": 8,
                "appendMs": 4.0,
                "recordBytes": 262_144,
                "callBytes": 2_097_152,
                "keep_s": 300,
                "partMb": 200,
                "ttlMinMs": 1000,
            },
        }

    @property
    def pid(self) -> int:
        """Process identifier of the latest start."""
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether its process runs."""
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Starts the node and its supervision."""
        await self._spawn()
        self._task = asyncio.create_task(self._supervise())

    async def _spawn(self) -> None:
        folder = self._site.folder
        settings = folder / f"{self.name}.json"
        settings.write_text(json.dumps(self.settings))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["BAOBABMUX_CONFIG"] = str(settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (folder / f"{self.name}.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *self._site.command,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.starts += 1
        self._site.record.add(f"node {self.name} starts")

    async def _supervise(self) -> None:
        while True:
            code = await self._process.wait()
            if self._stopping:
                return
            self.ends.append((time.monotonic(), code))
            self._site.record.add(f"node {self.name} ends by itself: {code}")
            await asyncio.sleep(RESTART_SECONDS)
            if self._stopping:
                return
            await self._spawn()

    async def is_ready(self) -> bool:
        """Returns whether its readiness check is answered by 200."""
        host, _, port = self._ready.rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        try:
            writer.write(head_bytes("GET /-/readyz HTTP/1.1", {"Host": host}))
            async with asyncio.timeout(1.0):
                head = await read_head(reader)
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()
        return head is not None and head.first.split()[1] == "200"

    def log(self) -> str:
        """Returns what it has written."""
        path = self._site.folder / f"{self.name}.log"
        return path.read_text(errors="replace")

    def memory_megabytes(self) -> float:
        """Returns the resident memory of its process, 0 if it has ended."""
        if not self.is_running:
            return 0.0
        try:
            fields = pathlib.Path(f"/proc/{self.pid}/statm").read_text().split()
        except OSError:
            return 0.0
        return int(fields[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6

    def kill(self) -> None:
        """Kills the process, which is started again."""
        if self.is_running:
            self._process.kill()

    async def end(self) -> None:
        """Ends the process."""
        self._stopping = True
        if self.is_running:
            self._process.kill()
            await self._process.wait()
        if self._task is not None:
            self._task.cancel()


class DraftClient:
    """Sends drafts on a kept connection to one node, one after the other.

    Attributes:
        node: The node.
        answers: Number of answers by status.
        closed: Requests on the kept connection that were closed without any
            byte of an answer.
    """

    def __init__(
        self,
        site: "Site",
        node: Node,
        number: int,
        *,
        tokens: str = "628,100",
        body: bytes = b"{}",
        pause_seconds: float = 0.0,
    ):
        self.node = node
        self.answers: collections.Counter = collections.Counter()
        self.closed: list[str] = []
        self._site = site
        self._name = f"{node.name}-client-{number}"
        self._tokens = tokens
        self._body = body
        self._pause_seconds = pause_seconds

    async def run(self) -> None:
        """Sends requests until cancelled."""
        connection = Connection(self.node.frontend)
        record = self._site.record
        for number in itertools.count(1):
            request = f"{self._name}-{number}"
            was_kept = connection.is_open and connection.answered > 0
            record.add(f"sent {request} kept {was_kept}")
            got = await connection.call(
                "/draft/1", stream_fields(request, self._tokens), self._body
            )
            record.add(
                f"answer {request} {got.status} whole {got.is_complete} "
                f"{got.error}"
            )
            self.answers[got.status if got.is_complete else "broken"] += 1
            if was_kept and got.status == 0:
                self.closed.append(request)
            if not got.is_complete:
                connection = Connection(self.node.frontend)
                await asyncio.sleep(0.3)
            await asyncio.sleep(self._pause_seconds)


MAX_LOST = 3


def judge_lost(site: "Site", clients: list[DraftClient]) -> int:
    """Applies the rule LOST: more than three at one machine.

    Counted are requests of kept connections that were passed on to a replica
    and closed without an answer.

    Returns:
        The exit code of a script.
    """
    passed_on = {request for _, request, _, _ in site.runs()}
    lost: collections.Counter = collections.Counter()
    answers: collections.Counter = collections.Counter()
    for client in clients:
        answers += client.answers
        lost[client.node.name] += len(passed_on.intersection(client.closed))
    if not answers[200]:
        return 2
    site.record.add(f"answers of the kept connections: {dict(answers)}")
    for node in site.nodes:
        site.record.add(
            f"{node.name}: ended by itself {len(node.ends)} times, "
            f"{lost[node.name]} requests of kept connections were passed on "
            f"and closed without an answer"
        )
    broken = max(lost.values()) > MAX_LOST
    site.record.add(f"LOST is {'broken' if broken else 'kept'}")
    return int(broken)


class Site:
    """The store, the replicas and the nodes of one script."""

    def __init__(self, folder: pathlib.Path):
        self.record = Record(folder)
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        self.store = Store()
        self.replicas: list[Replica] = []
        self.nodes: list[Node] = []
        self.version = 0
        self._tasks: list[asyncio.Task] = []
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.command = shlex.split(deploy["roles"]["node"]["run"])

    async def start_store(self) -> None:
        """Starts the store."""
        await self.store.start()

    def configure(self, **changes) -> None:
        """Writes the next configuration."""
        self.version += 1
        self.write_configuration(configuration(self.version, **changes))

    def write_configuration(self, values: dict) -> None:
        """Writes a configuration."""
        self._configuration = values
        self.repeat_configuration()

    def repeat_configuration(self) -> None:
        """Writes the newest configuration again, as after a drill."""
        text = json.dumps(self._configuration).encode()
        self.store.put("keyed.op", "config", text)

    async def add_replica(
        self, name: str, service: str, kind: type = Replica, **fields
    ) -> Replica:
        """Starts a replica that writes its entry at each beat."""
        replica = kind(self.record, name, service, **fields)
        await replica.start()
        self.replicas.append(replica)
        task = asyncio.create_task(replica.beat(self.store))
        self._tasks.append(task)
        return replica

    async def add_nodes(self, count: int) -> None:
        """Starts nodes at the same time."""
        zones = ("col-a", "col-b")
        for number in range(count):
            name = f"edge-{number + 1}"
            node = Node(self, name, zones[number % 2])
            self.nodes.append(node)
        for node in self.nodes:
            await node.start()

    async def wait_ready(self, seconds: float = 20.0) -> bool:
        """Waits until all nodes are ready; returns whether they are."""
        until = time.monotonic() + seconds
        for node in self.nodes:
            while not await node.is_ready():
                if time.monotonic() > until:
                    return False
                await asyncio.sleep(0.2)
        return True

    def runs(self) -> list[tuple[float, str, str, int]]:
        """Returns the runs of all replicas in the order of their times."""
        return sorted(run for one in self.replicas for run in one.runs)

    async def end(self) -> None:
        """Ends everything."""
        for node in self.nodes:
            await node.end()
        for replica in self.replicas:
            replica.has_ended = True
            await replica.stop()
        await self.store.stop()
        for task in self._tasks:
            task.cancel()
        self._temporary.cleanup()


def run(folder: pathlib.Path, script, limit_seconds: float = 115.0) -> int:
    """Runs a script on a site; returns its exit code, 2 if it couldn't run.

    Args:
        folder: Folder of the case, for `record.txt`.
        script: Coroutine function of the site; returns the exit code.
        limit_seconds: Longest time of the script.
    """

    async def main() -> int:
        site = Site(folder)
        # All processes are ended also if the script is stopped.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel
        )
        try:
            await site.start_store()
            async with asyncio.timeout(limit_seconds):
                return await script(site)
        except asyncio.CancelledError:
            return 2
        except (OSError, TimeoutError, KeyError) as error:
            site.record.add(f"could not run: {error!r}")
            return 2
        finally:
            await site.end()

    return asyncio.run(main())
