"""Stand-in for the weight store, with a limited rate of downloads."""

import collections
import re
import time
from typing import Any

from baobabmux_standins import rate, server, standin

_WEIGHTS = re.compile(r"/weights/([^/]+)/([^/]+)")


class Weights(standin.StandIn):
    """The weight store.

    Args:
        reads_per_second: Downloads admitted per second.
        size_bytes: Size of each set of weights.
    """

    def __init__(self, reads_per_second: float = 2.0, size_bytes: int = 65536):
        super().__init__()
        self._bucket = rate.TokenBucket(reads_per_second, time.monotonic())
        self._size_bytes = size_bytes
        self._totals: collections.Counter[str] = collections.Counter()

    def counts(self) -> dict[str, Any]:
        """Returns the numbers of downloads and of refusals."""
        return {"totals": dict(self._totals)}

    async def handle(
        self, request: server.Request, reply: server.Reply
    ) -> None:
        """Answers downloads."""
        match = _WEIGHTS.fullmatch(request.path)
        if match is None or request.method != "GET":
            await reply.json({"error": "no such resource"}, 404)
            return
        if not self._bucket.admit(time.monotonic()):
            self._totals["limited"] += 1
            retry_after = {"Retry-After": f"{self._bucket.wait_seconds():.3f}"}
            await reply.json({"error": "too many downloads"}, 429, retry_after)
            return
        self._totals["served"] += 1
        line = f"{match[1]} {match[2]}\n".encode()
        copies = self._size_bytes // len(line) + 1
        await reply.whole((line * copies)[: self._size_bytes])
