"""A late answer of the store brings back a replica that has left.

One machine of four is stopped and started again, as planned. As its first read
of the list of replicas is under way, it is cut off from the store for 0.6 s.
Meanwhile a replica leaves without `draining`: its entry is removed, and it goes
on serving for some seconds. The other machines and the store are undisturbed.
"""

import asyncio
import signal
import sys
import time

from rig import site as sites

_CUT_SECONDS = 0.6
_DRAIN_SECONDS = sites.BOUNDS["drainMs"] / 1000
# The replica serves on for so long after its entry was removed.
_LINGER_SECONDS = 10.0
_PER_SECOND_OF_NODE = 20.0
# Two replicas cannot run all requests at once.
_WORK_SECONDS = 0.18
_LEAVING = "desk-1"
_REQUESTS = (("POST", "/notice/1"), ("GET", "/lookup/1"))


async def _other_than_reader(site: sites.Site) -> sites.Node:
    """Returns a machine that does not read the list for the others."""
    reads = dict.fromkeys(site.nodes, 0)

    def count(name: str, data: bytes) -> None:
        reads[name] += b"topic=keyed.servers" in data

    for name, link in site.links.items():
        link.on_sent = lambda data, name=name: count(name, data)
    await asyncio.sleep(3.0)
    reader = max(reads, key=reads.get)
    site.record.add(f"{reader} reads the list of replicas for the others")
    return next(node for node in site.nodes.values() if node.name != reader)


async def _restart(site: sites.Site, node: sites.Node) -> asyncio.Event:
    """Restarts a node; returns the event that its first read is under way."""
    node.signal(signal.SIGTERM)
    site.record.add(f"{node.name} gets SIGTERM")
    while node.poll() is None:
        await asyncio.sleep(0.02)
    site.record.add(f"{node.name} has ended with code {node.poll()}")
    link = site.links[node.name]
    is_reading = asyncio.Event()

    def cut_on_read(data: bytes) -> None:
        if b"log-newest?topic=keyed.servers" not in data:
            return
        link.on_sent = lambda data: None
        if sites.trouble():
            link.cut()
            site.record.add(f"{node.name} is cut off from the store")
        is_reading.set()

    link.on_sent = cut_on_read
    await asyncio.sleep(0.3)
    node.start()
    site.record.add(f"{node.name} starts again")
    return is_reading


async def _run(site: sites.Site) -> int:
    """Returns the number of requests that came too late."""
    names = (_LEAVING, "desk-2", "desk-3")
    await site.start(4, dict.fromkeys(names, "desk-app"))
    for replica in site.replicas.values():
        replica.work_seconds = _WORK_SECONDS
    await asyncio.sleep(3.0)
    restarted = await _other_than_reader(site)
    site.load(_PER_SECOND_OF_NODE, 24.0, _REQUESTS)
    await asyncio.sleep(1.0)
    is_reading = await _restart(site, restarted)
    await asyncio.wait_for(is_reading.wait(), 10.0)
    cut_at = time.monotonic()
    # The store has read the list for its answer.
    await asyncio.sleep(0.02)
    removed = await site.store.put("keyed.servers", _LEAVING, b"")
    site.record.add(f"the entry of {_LEAVING} is removed", removed)
    await asyncio.sleep(cut_at + _CUT_SECONDS - time.monotonic())
    if sites.trouble():
        site.links[restarted.name].heal()
        site.record.add(f"{restarted.name} reaches the store again")
    await asyncio.sleep(removed + _LINGER_SECONDS - time.monotonic())
    await site.replicas[_LEAVING].stop()
    site.record.add(f"{_LEAVING} exits")
    await site.settle()
    late = [
        run
        for run in site.replicas[_LEAVING].arrivals
        if run["at"] > removed + _DRAIN_SECONDS
        and site.node_of(run) != restarted.name
    ]
    for run in late:
        site.record.add(
            f"request {run['request']} is late: {run['at'] - removed:.2f} s"
            f" after the removal, from {site.node_of(run)}",
            run["at"],
        )
    # Not part of the rule: what its exit costs.
    running = {run["request"] for run in late if run["done"] is None}
    for sent in site.calls:
        if sent["request"] in running:
            site.record.add(
                f"request {sent['request']} {sent['path']} is cut by the exit:"
                f" answered {sent['status']}",
                sent["answered"],
            )
    return len(late)


if __name__ == "__main__":
    sys.exit(sites.main(__file__, _run))
