"""A planned stop cuts the requests that still wait for a replica.

Requests of a plain service come somewhat faster than its replicas take them, so
that they wait for some seconds. One machine gets SIGTERM. It ends before the
grace period with waiting requests unanswered, and without refusing them.
"""

import asyncio
import signal
import sys
import time

from rig import platform
from rig import site as sites

_TIMEOUT_MS = 12_000
_GRACE_SECONDS = sites.BOUNDS["graceS"]
_SLACK_SECONDS = sites.BOUNDS["lossSlackMs"] / 1000
_WORK_SECONDS = 1.5
_PER_SECOND_OF_NODE = 6.0
_REQUESTS = (("POST", "/notice/1"),)
_BACKLOG_SECONDS = 12.0
# A busy machine may end an answer just as its time is up.
_TIME_SHARE = 0.9


def _configuration() -> bytes:
    """Returns the record with a longer timeout for the unsafe route."""
    return platform.configuration(
        6, timeouts={"notice": _TIMEOUT_MS}, targets={"notice": 4000}
    )


def _lost(site: sites.Site, node: str, stopped_at: float) -> list[dict]:
    """Returns the requests that the rule counts as lost."""
    runs = {
        run["request"]: run
        for replica in site.replicas.values()
        for run in replica.arrivals
        if run["ran"]
    }
    lost = []
    for sent in site.calls:
        elapsed = sent["answered"] - sent["at"]
        if (
            sent["node"] == node
            and sent["status"] == 0
            and sent["connected"]
            and stopped_at - _TIMEOUT_MS / 1000 < sent["at"]
            and sent["at"] < stopped_at + 3.0
            and stopped_at < sent["answered"]
            and sent["answered"] < stopped_at + _GRACE_SECONDS + 1.0
            and elapsed > _SLACK_SECONDS
            and elapsed < _TIME_SHARE * _TIMEOUT_MS / 1000
            and sent["request"] not in runs
        ):
            lost.append(sent)
    return lost


async def _run(site: sites.Site) -> int:
    """Returns the number of lost requests."""
    replicas = {f"desk-{number}": "desk-app" for number in (1, 2, 3)}
    await site.start(4, replicas)
    for replica in site.replicas.values():
        replica.work_seconds = _WORK_SECONDS
    await site.store.put("keyed.op", "config", _configuration())
    site.record.add(f"timeoutMs of notice becomes {_TIMEOUT_MS}")
    await asyncio.sleep(4.0)
    fields = {"X-Deadline-Ms": str(_TIMEOUT_MS)}
    site.load(_PER_SECOND_OF_NODE, 24.0, _REQUESTS, 16.0, fields)
    await asyncio.sleep(_BACKLOG_SECONDS)
    stopped = site.nodes["edge-col-b-1"]
    stopped_at = time.monotonic()
    if sites.trouble():
        stopped.signal(signal.SIGTERM)
        site.record.add(f"{stopped.name} gets SIGTERM")
        while stopped.poll() is None:
            await asyncio.sleep(0.05)
        site.record.add(f"{stopped.name} ends with code {stopped.poll()}")
    await site.settle()
    lost = _lost(site, stopped.name, stopped_at)
    for sent in lost:
        site.record.add(
            f"request {sent['request']} is lost: read, never passed on, no"
            " answer",
            sent["answered"],
        )
    return len(lost)


if __name__ == "__main__":
    sys.exit(sites.main(__file__, _run))
