"""Tests of following the configuration stream."""

import curio

from baobabmux_core import configuration, streams
from baobabmux_node import config_follower

_TABLES = {
    "preset/ordinary": {},
    "active/preset": {"name": "ordinary"},
}


class _Log:
    """Stand-in for a log whose stream has lost its first record by expiry."""

    def __init__(self, records):
        self.records = records

    async def read(self, stream, start, *, wait=0.0, limit=500):
        start = max(start, 1)
        page_records = [
            streams.Record(offset, 0, self.records[offset])
            for offset in range(start, min(start + limit, len(self.records)))
        ]
        await curio.sleep(0.001 if page_records else wait)
        return streams.Page(1, start + len(page_records), page_records)


async def _ignore_change():
    return None


def test_snapshot_after_the_first_page_is_read():
    """Guards against a new node that reads the first page again and again.

    The first publication has expired, and the snapshot that replaces it comes
    only after a full page of other records.
    """
    writer_state = configuration.ConfigurationLog()
    records = [configuration.publication("first", -1, _TABLES, [], "desk")]
    records += [{"type": "other"}] * 700
    for offset, record in enumerate(records):
        writer_state.apply(offset, record)
    log = _Log([*records, writer_state.snapshot()])
    follower = config_follower.ConfigFollower(log, 300.0, _ignore_change, 1)

    async def run():
        async with curio.ignore_after(1.0):
            await follower.follow()

    curio.run(run)
    assert follower.state.version == 0
