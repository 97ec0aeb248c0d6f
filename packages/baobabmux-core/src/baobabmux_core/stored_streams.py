"""Decides which streams are recorded in the platform's store, and by whom.

If all nodes end at once, no node has a record of a stream that a caller takes
up. While several versions of a service may have begun streams, each node hands
its streams to a recorder, a node that writes those of all in batches. Nodes
read them only for a request whose stream no reachable node knows.
"""

from __future__ import annotations

import collections
from collections.abc import Callable, Iterable

import msgspec

from baobabmux_core import effects, ids, messages

# Live nodes for each recorder.
_NODES_PER_RECORDER = 32
# Nodes that try to write a record in turn, before the last one keeps it.
_MAX_HANDOVERS = 3
_MAX_UNSENT = 10_000
_MAX_UNWRITTEN = 20_000
# Streams of one message or one record of the store.
_MAX_SENT = 200
_MAX_WRITTEN = 2_000


class Origin(msgspec.Struct, frozen=True):
    """What began a stream.

    Attributes:
        service: Service that runs it.
        version: Version of the endpoint that sent its first event.
    """

    service: ids.ServiceName
    version: str


class _Unwritten(msgspec.Struct, frozen=True):
    origin: Origin
    # Nodes that could not write it.
    handovers: int


def recorder_count(live: int) -> int:
    """Returns the number of recorders for a number of live nodes."""
    return 1 + live // _NODES_PER_RECORDER


class StoredStreams:
    """Streams of one node on their way to the store.

    Args:
        node: This node.

    Attributes:
        candidates: Nodes that may record streams, the recorders first; empty
            if nothing is recorded.
        recorders: Number of recorders among them.
    """

    def __init__(self, node: ids.NodeId):
        self.candidates: tuple[ids.NodeId, ...] = ()
        self.recorders = 0
        self._node = node
        # Streams that began here and that no recorder has, by service.
        self._unsent: dict[ids.ServiceName, dict[ids.StreamKey, Origin]] = (
            collections.defaultdict(dict)
        )
        self._unwritten: dict[ids.StreamKey, _Unwritten] = {}

    # Streams of this node.

    def began(self, key: ids.StreamKey, origin: Origin) -> None:
        """Adds a stream that began here, or has to be handed over again."""
        unsent = self._unsent[origin.service]
        unsent[key] = origin
        if len(unsent) > _MAX_UNSENT:
            del unsent[next(iter(unsent))]

    def expired(self, key: ids.StreamKey, origin: Origin) -> None:
        """Drops a stream that nobody takes up any more."""
        self._unsent[origin.service].pop(key, None)

    def handovers(
        self, has_several: Callable[[ids.ServiceName], bool]
    ) -> list[effects.Effect]:
        """Returns the messages that hand streams to their recorders.

        Args:
            has_several: Returns whether several versions of a service may have
                begun recent streams.
        """
        if not self.recorders:
            return []
        by_recorder = collections.defaultdict(list)
        for service, unsent in self._unsent.items():
            if not unsent or not has_several(service):
                continue
            for key, origin in unsent.items():
                recorder = self.candidates[key % self.recorders]
                by_recorder[recorder, origin].append(key)
            unsent.clear()
        sends = []
        for (recorder, origin), keys in by_recorder.items():
            if recorder == self._node:
                self._add(keys, origin, 0)
            else:
                sends += _handover(recorder, origin, keys, 0)
        return sends

    # Streams that this node writes.

    def receive(self, message: messages.StreamsToStore) -> None:
        """Adds streams that another node hands over."""
        origin = Origin(message.service, message.version)
        self._add(message.streams, origin, message.handovers)

    def due(self) -> dict[ids.StreamKey, Origin]:
        """Returns the next streams to write, the oldest ones first."""
        due = {}
        for key, unwritten in self._unwritten.items():
            due[key] = unwritten.origin
            if len(due) >= _MAX_WRITTEN:
                break
        return due

    def written(self, keys: Iterable[ids.StreamKey]) -> None:
        """Drops streams that are in the store."""
        for key in keys:
            self._unwritten.pop(key, None)

    def not_written(self) -> list[effects.Effect]:
        """Hands the streams to another node, as the store refused them here.

        The last of several nodes keeps them until it reaches the store.
        """
        others = [node for node in self.candidates if node != self._node]
        if not others:
            return []
        by_target = collections.defaultdict(list)
        for key, unwritten in list(self._unwritten.items()):
            if unwritten.handovers >= _MAX_HANDOVERS:
                continue
            target = others[(key + unwritten.handovers) % len(others)]
            count = unwritten.handovers + 1
            by_target[target, unwritten.origin, count].append(key)
            del self._unwritten[key]
        return [
            send
            for (target, origin, count), keys in by_target.items()
            for send in _handover(target, origin, keys, count)
        ]

    def _add(
        self, keys: Iterable[ids.StreamKey], origin: Origin, handovers: int
    ) -> None:
        for key in keys:
            self._unwritten.setdefault(key, _Unwritten(origin, handovers))
        while len(self._unwritten) > _MAX_UNWRITTEN:
            del self._unwritten[next(iter(self._unwritten))]


def _handover(
    node: ids.NodeId,
    origin: Origin,
    keys: list[ids.StreamKey],
    handovers: int,
) -> list[effects.Effect]:
    return [
        effects.Send(
            node,
            messages.StreamsToStore(
                origin.service,
                origin.version,
                tuple(keys[start : start + _MAX_SENT]),
                handovers,
            ),
        )
        for start in range(0, len(keys), _MAX_SENT)
    ]
