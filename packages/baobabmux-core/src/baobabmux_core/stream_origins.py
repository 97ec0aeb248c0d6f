"""Versions of endpoints that began the recent streams.

A caller may take a stream up at a node that never saw it, and the stream may
go on only at the version that began it. The node that sent the first event
therefore tells some others, chosen by the stream's key, so that any node can
ask them. Nothing is sent while only one version has been listed for long
enough: then that version has begun every stream.
"""

from __future__ import annotations

import bisect
import collections
from collections.abc import Iterable

import msgspec
import xxhash

from baobabmux_core import (
    effects,
    ids,
    messages,
    stored_streams,
    version_history,
)

Origin = stored_streams.Origin

# Nodes that keep a copy of a record.
_COPIES = 3
# Nodes that are asked for a record: those that keep it, and the next ones in
# case nodes have come or gone since.
_MAX_ASKED = 16
_ANSWER_TIMEOUT_SECONDS = 0.3
# Longest time that a request waits for the record of its stream in the store.
_STORE_TIMEOUT_SECONDS = 1.5
# Names no stream.
_NO_STREAM = ids.StreamKey(0)
# Bound the memory; the oldest record is evicted first.
_MAX_RECORDS = 10_000
_MAX_LOOKUPS = 1_000
# Streams of a service that are reported at a time, the latest ones.
_MAX_SENT = 100


class Conclusion(msgspec.Struct, frozen=True):
    """Result of a question about the stream that a request takes up.

    Attributes:
        work: The request.
        origin: What began the stream, or None if it cannot be known.
        is_recorded: Whether a node has a record of the stream.
    """

    work: effects.Work
    origin: Origin | None
    is_recorded: bool = False


class _Record(msgspec.Struct, frozen=True):
    origin: Origin
    at: float


class _Lookup:
    """A request whose stream other nodes are asked about."""

    def __init__(self, work: effects.Work, asked: set[ids.NodeId], due: float):
        self.work = work
        self.unanswered = asked
        self.due = due
        self.versions: set[str] = set()


class _StoreLookup(msgspec.Struct):
    """A request whose stream only the store may know.

    Attributes:
        work: The request.
        asked: Time in seconds from which on a read of the store answers it.
        due: Time in seconds at which it is refused.
        is_read: Whether the store was read since.
    """

    work: effects.Work
    asked: float
    due: float
    is_read: bool = False


class _Ring:
    """Nodes on a hash ring; a stream's record is kept by the next ones.

    Most records keep their nodes when others come or go.
    """

    def __init__(self, own: ids.NodeId, members: frozenset[ids.NodeId]):
        self.members = members
        self.has_others = bool(members - {own})
        self._own = own
        self._points = sorted(
            (xxhash.xxh3_64_intdigest(node.encode()), node) for node in members
        )

    def nodes(self, key: ids.StreamKey, count: int) -> list[ids.NodeId]:
        """Returns the first nodes for a key, without the own one."""
        start = bisect.bisect_left(self._points, (key, ""))
        order = [*self._points[start:], *self._points[:start]]
        return [node for _, node in order if node != self._own][:count]


class StreamOrigins:
    """Records of streams at one node, and its questions to others.

    Attributes:
        history: Versions that were listed recently.
        stored: Streams on their way to the platform's store.
    """

    def __init__(self, node: ids.NodeId):
        self.history = version_history.VersionHistory()
        self.stored = stored_streams.StoredStreams(node)
        self._node = node
        # In the order of their times.
        self._records: collections.OrderedDict[ids.StreamKey, _Record] = (
            collections.OrderedDict()
        )
        # Streams of this node that others have not been told of, by service.
        self._unsent: dict[ids.ServiceName, set[ids.StreamKey]] = (
            collections.defaultdict(set)
        )
        self._lookups: dict[ids.RequestId, _Lookup] = {}
        # Questions that no node could answer; the store may.
        self._store_lookups: dict[ids.RequestId, _StoreLookup] = {}
        self._ring = _Ring(node, frozenset({node}))

    def __len__(self) -> int:
        return len(self._records)

    # Records.

    def began(self, key: ids.StreamKey, origin: Origin, now: float) -> None:
        """Records a stream that began at this node."""
        self._add(key, origin, now)
        self.resend([key])

    def find(self, key: ids.StreamKey, now: float) -> Origin | None:
        """Returns what began a stream, or None if there is no record."""
        record = self._records.get(key)
        if record is None or record.at <= now - self.history.kept_seconds:
            return None
        return record.origin

    def receive(self, message: messages.StreamsBegan, now: float) -> None:
        """Adds the records that another node sends."""
        origin = Origin(message.service, message.version)
        for key in message.streams:
            self._add(key, origin, now)

    def resend(self, keys: Iterable[ids.StreamKey]) -> None:
        """Lets records be sent again, because nodes have come or gone."""
        for key in keys:
            if (record := self._records.get(key)) is not None:
                self._unsent[record.origin.service].add(key)
                self.stored.began(key, record.origin)

    def reports(
        self, peers: Iterable[ids.NodeId], now: float
    ) -> list[effects.Effect]:
        """Returns the messages about streams that other nodes have to know.

        Args:
            peers: Reachable nodes.
            now: Current time in seconds.
        """
        return [
            *self._copies(peers, now),
            *self.stored.handovers(
                lambda service: len(self.history.versions(service, now)) > 1
            ),
        ]

    def _copies(
        self, peers: Iterable[ids.NodeId], now: float
    ) -> list[effects.Effect]:
        ring = self._ring_of(peers)
        by_node = collections.defaultdict(list)
        for service, keys in self._unsent.items():
            if (
                not keys
                or not ring.has_others
                or self.history.only_version(service, now) is not None
            ):
                continue
            latest = sorted(keys, key=lambda key: -self._records[key].at)
            for key in latest[:_MAX_SENT]:
                keys.discard(key)
                origin = self._records[key].origin
                for node in ring.nodes(key, _COPIES):
                    by_node[node, origin].append(key)
        return [
            effects.Send(
                node,
                messages.StreamsBegan(
                    origin.service, origin.version, tuple(keys)
                ),
            )
            for (node, origin), keys in by_node.items()
        ]

    def _ring_of(self, peers: Iterable[ids.NodeId]) -> _Ring:
        nodes = frozenset(peers) | {self._node}
        if self._ring.members != nodes:
            self._ring = _Ring(self._node, nodes)
        return self._ring

    def _add(self, key: ids.StreamKey, origin: Origin, now: float) -> None:
        known = self.find(key, now)
        if key in self._records:
            self._drop(key)
        # The first event decides; the identifier may have been used again.
        self._records[key] = _Record(known or origin, now)
        if len(self._records) > _MAX_RECORDS:
            self._drop(next(iter(self._records)))

    def expire(self, now: float) -> None:
        """Drops the records that are no longer needed."""
        while self._records:
            key, record = next(iter(self._records.items()))
            if record.at > now - self.history.kept_seconds:
                return
            self._drop(key)

    def _drop(self, key: ids.StreamKey) -> None:
        record = self._records.pop(key)
        self._unsent[record.origin.service].discard(key)
        self.stored.expired(key, record.origin)

    # Questions to other nodes.

    def answer(
        self, ask: messages.StreamAsk, now: float
    ) -> messages.StreamAnswer:
        """Answers another node's question about a stream."""
        origin = self.find(ask.stream, now)
        if origin is not None:
            return messages.StreamAnswer(
                ask.request, origin.service, origin.version, True
            )
        version = self.history.only_version(ask.service, now)
        return messages.StreamAnswer(ask.request, ask.service, version, False)

    def look_up(
        self, work: effects.Work, peers: Iterable[ids.NodeId], now: float
    ) -> list[effects.Effect] | None:
        """Asks other nodes, or the store, which version began a stream.

        Returns:
            The questions to other nodes, or None if there is nobody to ask, or
            if too many requests are waiting for answers.
        """
        if self.waiting() >= _MAX_LOOKUPS:
            return None
        asked = self._ring_of(peers).nodes(work.resumes, _MAX_ASKED)
        if not asked:
            return [] if self._ask_store(work, now) else None
        self._lookups[work.request] = _Lookup(
            work, set(asked), now + _ANSWER_TIMEOUT_SECONDS
        )
        ask = messages.StreamAsk(work.request, work.resumes, work.service)
        return [effects.Send(node, ask) for node in asked]

    def cancel(self, request: ids.RequestId) -> effects.Work | None:
        """Drops the question for a request; returns it if there was one."""
        lookup = self._lookups.pop(request, None)
        if lookup is None:
            lookup = self._store_lookups.pop(request, None)
        return None if lookup is None else lookup.work

    def waiting(self) -> int:
        """Returns the number of requests that wait for answers."""
        return len(self._lookups) + len(self._store_lookups)

    def answered(
        self, answer: messages.StreamAnswer, sender: ids.NodeId, now: float
    ) -> Conclusion | None:
        """Handles an answer; returns None if others are still missing."""
        lookup = self._lookups.get(answer.request)
        if lookup is None or sender not in lookup.unanswered:
            return None
        lookup.unanswered.discard(sender)
        if answer.certain and answer.version is not None:
            origin = Origin(answer.service, answer.version)
            self._add(lookup.work.resumes, origin, now)
            del self._lookups[answer.request]
            return Conclusion(lookup.work, origin, True)
        if answer.version is not None:
            lookup.versions.add(answer.version)
        if lookup.unanswered:
            return None
        del self._lookups[answer.request]
        return self._conclude(lookup, now)

    def overdue(self, now: float) -> list[Conclusion]:
        """Returns the requests whose answers did not all arrive in time."""
        due = [
            request
            for request, lookup in self._lookups.items()
            if lookup.due <= now
        ]
        lookups = [self._lookups.pop(request) for request in due]
        concluded = [self._conclude(lookup, now) for lookup in lookups]
        return [
            *(one for one in concluded if one is not None),
            *self._overdue_at_store(now),
        ]

    def _conclude(self, lookup: _Lookup, now: float) -> Conclusion | None:
        """Concludes what must have begun a stream unknown to all nodes.

        A node that has known only one version for long enough is right about
        it, unless this node has seen another one. Without one, the store is
        asked.
        """
        work = lookup.work
        known = lookup.versions | self.history.versions(work.service, now)
        if len(lookup.versions) == 1 and known == lookup.versions:
            origin = Origin(work.service, next(iter(lookup.versions)))
            return Conclusion(work, origin)
        if self._ask_store(work, now):
            return None
        return Conclusion(work, None)

    # Questions to the platform's store.

    def _ask_store(self, work: effects.Work, now: float) -> bool:
        """Lets a request wait for the store; returns whether it may."""
        if not self.stored.candidates or work.resumes == _NO_STREAM:
            return False
        due = now + _STORE_TIMEOUT_SECONDS
        self._store_lookups[work.request] = _StoreLookup(work, now, due)
        return True

    def needs_store(self) -> bool:
        """Returns whether a request waits for what the store knows."""
        return any(not one.is_read for one in self._store_lookups.values())

    def restore(
        self, streams: Iterable[tuple[ids.StreamKey, Origin, float]], now: float
    ) -> None:
        """Adds streams from the store, the oldest ones first.

        Args:
            streams: Key, origin and time in seconds of each stream.
            now: Current time in seconds.
        """
        for key, origin, at in streams:
            if (
                key not in self._records
                and at > now - self.history.kept_seconds
            ):
                self._add(key, origin, now)

    def store_read(self, started: float) -> int:
        """Records that the store was read to its end.

        Args:
            started: Time in seconds at which the read was sent.

        Returns:
            Number of requests that waited for it.
        """
        answered = 0
        for lookup in self._store_lookups.values():
            if not lookup.is_read and lookup.asked <= started:
                lookup.is_read = True
                answered += 1
        return answered

    def _overdue_at_store(self, now: float) -> list[Conclusion]:
        concluded = []
        for request, lookup in list(self._store_lookups.items()):
            origin = self.find(lookup.work.resumes, now)
            if origin is None and not lookup.is_read and lookup.due > now:
                continue
            del self._store_lookups[request]
            is_recorded = origin is not None
            service = lookup.work.service
            version = self.history.only_version(service, now)
            if origin is None and version is not None:
                origin = Origin(service, version)
            concluded.append(Conclusion(lookup.work, origin, is_recorded))
        return concluded
