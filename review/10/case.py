"""After a drill of the store, all nodes miss the newest configuration.

The operator writes a configuration every two seconds. In a drill the store
comes back from a copy that is some seconds old, without the last two. The
operator writes the newest one again, and then the next one, which fell due
while the store was away. It takes a key away and adds another one.
"""

import asyncio
import sys
import time

from rig import platform
from rig import site as sites

_STEP_SECONDS = 2.0
_COPY_AGE_SECONDS = 5.0
_AWAY_SECONDS = 0.5
# From the last version but one to the drill.
_DRILL_SECONDS = 1.6
# Between two calls of the operator to the store.
_CALL_SECONDS = 0.1
# `configApplyMs` and `outerMs`, which only an unstable store would add.
_APPLY_SECONDS = 2.0 + 5.0 + 1.0
_JUDGED_SECONDS = 6.0
_PER_SECOND_OF_NODE = 10.0


def _configuration(version: int, *keys: str) -> bytes:
    tenant = {
        "name": "bank-a",
        "apiKeys": ["key-a", *keys],
        "priority": 1,
        "unit": "tokens",
        "plainTokens": 200,
        "ratePerS": 0,
        "burst": 0,
    }
    return platform.configuration(version, tenants=[tenant])


async def _write(site: sites.Site, data: bytes, text: str) -> float:
    """Writes a configuration as the operator; returns when it was accepted."""
    await asyncio.sleep(_CALL_SECONDS)
    at = await site.store.put("keyed.op", "config", data)
    site.record.add(f"the operator writes {text}", at)
    return at


async def _drill(site: sites.Site, newest: bytes) -> None:
    copied_at = time.monotonic() - _COPY_AGE_SECONDS
    await site.store.leave()
    site.record.add("the store goes away")
    await asyncio.sleep(_AWAY_SECONDS)
    gone = await site.store.come_back(copied_at)
    site.record.add(f"the store is back from a copy; records gone: {gone}")
    if gone["keyed.op"] != 2:
        raise sites.CaseError("the copy does not lack two versions")
    await _write(site, newest, "version 5 again")


async def _ask(site: sites.Site, node: sites.Node, key: str) -> dict:
    fields = {"Authorization": f"Bearer {key}"}
    sent = await site.send(node, "/lookup/1", "GET", fields=fields)
    sent["key"] = key
    return sent


async def _run(site: sites.Site) -> int:
    """Returns how often the rule was broken."""
    replicas = {f"desk-{number}": "desk-app" for number in range(3)}
    await site.start(4, replicas)
    await asyncio.sleep(8.0)
    await _write(site, _configuration(4, "key-b"), "version 4: adds key-b")
    await asyncio.sleep(_STEP_SECONDS)
    newest = _configuration(5, "key-b", "key-c")
    await _write(site, newest, "version 5: adds key-c")
    await asyncio.sleep(_DRILL_SECONDS)
    if sites.trouble():
        await _drill(site, newest)
    else:
        await asyncio.sleep(_AWAY_SECONDS)
    accepted_at = await _write(
        site,
        _configuration(6, "key-c", "key-d"),
        "version 6: takes key-b away and adds key-d",
    )
    await asyncio.sleep(accepted_at + _APPLY_SECONDS - time.monotonic())
    asked = []
    for _ in range(round(_JUDGED_SECONDS * _PER_SECOND_OF_NODE)):
        for node in site.nodes.values():
            for key in ("key-a", "key-b", "key-d"):
                asked.append(site.spawn(_ask(site, node, key)))
        await asyncio.sleep(1.0 / _PER_SECOND_OF_NODE)
    answers = await asyncio.gather(*asked)
    counts = {
        key: {
            status: sum(
                one["key"] == key and one["status"] == status for one in answers
            )
            for status in sorted({one["status"] for one in answers})
        }
        for key in ("key-a", "key-b", "key-d")
    }
    site.record.add(f"answers by key and status: {counts}")
    if counts["key-a"].get(200, 0) < len(answers) / 6:
        raise sites.CaseError("too few requests were served")
    return counts["key-b"].get(200, 0) + counts["key-d"].get(401, 0)


if __name__ == "__main__":
    sys.exit(sites.main(__file__, _run))
