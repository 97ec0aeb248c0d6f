"""Stand-in for the log service: append-only streams with limited retention.

A `Log` owns the records of all streams, the rate limit of appends and the
numbers of answers that it still has to lose.
"""

import collections
import json
import re
import time
from typing import Any

import curio
import msgspec

from baobabmux_standins import rate, server, standin

_RECORDS = re.compile(r"/streams/([^/]+)/records")
_READ_LIMIT_RECORDS = 1000
_MAX_WAIT_SECONDS = 30.0


class LogFaults(standin.Faults, frozen=True, forbid_unknown_fields=True):
    """Faults of the log service.

    Attributes:
        lose_answers: Number of next appends that take effect but whose
            connection is closed without an answer; -1 for all.
        lose_stream: Prefix of the names of the streams for which
            `lose_answers` applies.
        lose_after_seconds: Time between the append and the close of the
            connection, in which readers can already read the record.
        lose_reads: Number of next reads whose connection is closed without
            an answer; -1 for all.
    """

    lose_answers: int = 0
    lose_stream: str = ""
    lose_after_seconds: float = 0.0
    lose_reads: int = 0


class Record(msgspec.Struct, frozen=True):
    """One record of a stream."""

    offset: int
    time_ms: int
    data: Any


class Stream:
    """Records of one stream in order of offset, without expired ones.

    Attributes:
        records: Records that are kept.
        next_offset: Offset of the next record.
        appended: Notified when a record is appended.
    """

    def __init__(self):
        self.records: collections.deque[Record] = collections.deque()
        self.next_offset = 0
        self.appended = curio.Condition()

    @property
    def first_offset(self) -> int:
        """Offset of the oldest record kept, or the next one without any."""
        return self.records[0].offset if self.records else self.next_offset

    def append(self, data: Any) -> int:
        """Appends a record and returns its offset."""
        offset = self.next_offset
        self.records.append(Record(offset, time.time_ns() // 10**6, data))
        self.next_offset += 1
        return offset

    def expire(self, before_ms: int) -> None:
        """Removes records that were appended before a time."""
        while self.records and self.records[0].time_ms < before_ms:
            self.records.popleft()

    def read(self, start: int, limit: int) -> list[Record]:
        """Returns at most `limit` records, beginning at an offset."""
        skipped = max(0, start - self.first_offset)
        last = min(len(self.records), skipped + limit)
        return [self.records[index] for index in range(skipped, last)]


class Log(standin.StandIn):
    """The log service.

    Args:
        appends_per_second: Appends admitted per second, over all streams.
        retention_seconds: Age after which records are removed.
    """

    faults_type = LogFaults

    def __init__(
        self,
        appends_per_second: float = 400.0,
        retention_seconds: float = 86400.0,
    ):
        super().__init__()
        self._retention_seconds = retention_seconds
        self._bucket = rate.TokenBucket(appends_per_second, time.monotonic())
        self._streams: dict[str, Stream] = collections.defaultdict(Stream)
        self._totals: collections.Counter[str] = collections.Counter()
        self._losses_left = {"answers": 0, "reads": 0}

    async def on_faults_set(self) -> None:
        """Resets the numbers of answers to lose.

        The fault `refuse` also resets the open connections.
        """
        self._losses_left = {
            "answers": self.faults.lose_answers,
            "reads": self.faults.lose_reads,
        }
        if self.faults.refuse:
            await self.server.listener.drop()

    def counts(self) -> dict[str, Any]:
        """Returns totals and the number of records of each stream."""
        return {
            "totals": dict(self._totals),
            "streams": {
                name: stream.next_offset
                for name, stream in self._streams.items()
            },
        }

    async def handle(
        self, request: server.Request, reply: server.Reply
    ) -> None:
        """Answers appends and reads."""
        match = _RECORDS.fullmatch(request.path)
        if match is None:
            await reply.json({"error": "no such resource"}, 404)
        elif request.method == "POST":
            await self._append(match[1], request, reply)
        elif request.method == "GET":
            await self._read(match[1], request, reply)
        else:
            await reply.json({"error": "no such method"}, 405)

    async def _append(
        self, name: str, request: server.Request, reply: server.Reply
    ) -> None:
        try:
            data = json.loads(request.body)
        except ValueError:
            await reply.json({"error": "the body is no JSON"}, 400)
            return
        if not self._bucket.admit(time.monotonic()):
            self._totals["limited"] += 1
            retry_after = {"Retry-After": f"{self._bucket.wait_seconds():.3f}"}
            await reply.json({"error": "too many appends"}, 429, retry_after)
            return
        stream = self._streams[name]
        offset = stream.append(data)
        self._totals["appended"] += 1
        async with stream.appended:
            await stream.appended.notify_all()
        if name.startswith(self.faults.lose_stream) and self._consume_loss(
            "answers"
        ):
            await curio.sleep(self.faults.lose_after_seconds)
            raise server.HangUp
        await reply.json({"offset": offset}, 201)

    async def _read(
        self, name: str, request: server.Request, reply: server.Reply
    ) -> None:
        try:
            start = int(request.query.get("from", "0"))
            limit = int(request.query.get("limit", _READ_LIMIT_RECORDS))
            wait = float(request.query.get("wait", "0"))
        except ValueError:
            await reply.json({"error": "a parameter is no number"}, 400)
            return
        self._totals["reads"] += 1
        stream = self._streams[name]
        if stream.next_offset <= start and wait > 0:
            async with curio.ignore_after(min(wait, _MAX_WAIT_SECONDS)):
                async with stream.appended:
                    while stream.next_offset <= start:
                        await stream.appended.wait()
        if self._consume_loss("reads"):
            raise server.HangUp
        oldest_ms = time.time_ns() // 10**6 - self._retention_seconds * 1000
        stream.expire(int(oldest_ms))
        records = stream.read(start, min(limit, _READ_LIMIT_RECORDS))
        end_offset = records[-1].offset + 1 if records else stream.next_offset
        answer = {
            "first": stream.first_offset,
            "next": end_offset,
            "records": msgspec.to_builtins(records),
        }
        await reply.json(answer)

    def _consume_loss(self, kind: str) -> bool:
        """Returns whether to lose an answer, and counts it if so.

        Args:
            kind: "answers" of appends or "reads".
        """
        if self._losses_left[kind] == 0:
            return False
        self._losses_left[kind] -= 1
        self._totals[f"lost_{kind}"] += 1
        return True
