"""Tests of the follower of the configuration stream."""

import curio

from baobabmux_core import configuration, streams
from baobabmux_node import config_follower

_TABLES = {
    "preset/ordinary": {},
    "active/preset": {"name": "ordinary"},
}


class _Log:
    """Stream whose first record has expired."""

    def __init__(self, records):
        self.records = records

    async def read(self, stream, start, *, wait=0.0, limit=500):
        start = max(start, 1)
        found = [
            streams.Record(offset, 0, self.records[offset])
            for offset in range(start, min(start + limit, len(self.records)))
        ]
        await curio.sleep(0.001 if found else wait)
        return streams.Page(1, start + len(found), found)


async def _nothing():
    return None


def test_snapshot_behind_the_first_page_is_found():
    """Guards against a new node that reads the same page for ever."""
    full = configuration.ConfigurationLog()
    records = [configuration.publication("first", -1, _TABLES, [], "desk")]
    records += [{"type": "other"}] * 700
    for offset, record in enumerate(records):
        full.apply(offset, record)
    log = _Log([*records, full.snapshot()])
    follower = config_follower.ConfigFollower(log, 300.0, _nothing, 1)

    async def run():
        async with curio.ignore_after(1.0):
            await follower.follow()

    curio.run(run)
    assert follower.state.version == 0
