"""Revisions of the messages between nodes of different builds.

Nodes of an older and a newer build run side by side while VMs are replaced one
after the other. Each node states its revision in its heartbeats. A peer is sent
only what its build decodes: messages are replaced by a substitute or withheld,
and the state of this node is sent once the peer is known to understand it.
"""

import collections

import msgspec

from baobabmux_core import ids, messages

LANDED = {
    1: "a29434c",
    2: "ee29ff6",
    3: "bd5c0cb",
    4: "bf1d953",
    5: "ed2b6de",
    6: "00d2576",
    7: "ec307ef",
}
"""Last commit of each landed revision."""

CURRENT = max(LANDED) + 1
"""Revision of this build."""

# Builds before revision 6 state none. Those of revision 5 announce a port for
# tunnels.
_ASSUMED = 4

_MAX_COUNTED = 200
_OTHERS = ("other", ids.NodeId(""))


class UnknownCounts:
    """Counts what peers sent that this build does not know.

    Attributes:
        counts: Numbers by what was unknown and its sender. Beyond a bounded
            number of entries, all others count as one.
    """

    def __init__(self):
        self.counts: collections.Counter[tuple[str, ids.NodeId]] = (
            collections.Counter()
        )
        self._taken: dict[tuple[str, ids.NodeId], int] = {}

    def record(self, sender: ids.NodeId, unknown: tuple[str, ...]) -> None:
        """Counts the unknown items of a frame."""
        for item in unknown:
            entry = (item, sender)
            is_full = len(self.counts) >= _MAX_COUNTED
            if is_full and entry not in self.counts:
                entry = _OTHERS
            self.counts[entry] += 1

    def take(self) -> dict[tuple[str, ids.NodeId], int]:
        """Returns the numbers since the last call, without zeros."""
        taken = {
            entry: count - self._taken.get(entry, 0)
            for entry, count in self.counts.items()
            if count != self._taken.get(entry, 0)
        }
        self._taken = dict(self.counts)
        return taken


class _Peer(msgspec.Struct):
    """What is known about the build of a peer.

    Attributes:
        incarnation: Incarnation of the peer.
        proven: Revision that it has at least.
        lacks_state: Whether a message to it was withheld.
    """

    incarnation: int = -1
    proven: int = 1
    lacks_state: bool = False


class PeerRevisions:
    """Revisions of the peers, and what is sent to them.

    Attributes:
        replaced: Numbers of messages that were withheld or replaced by a
            substitute, by their type.
    """

    def __init__(self):
        self.replaced: collections.Counter[str] = collections.Counter()
        self._peers: dict[ids.NodeId, _Peer] = {}

    def of(self, node: ids.NodeId) -> int:
        """Returns the revision that a peer has at least."""
        return self._peers.get(node, _Peer()).proven

    def record(self, frame: messages.Frame) -> bool:
        """Records what a frame shows about its sender's build.

        Returns:
            Whether the sender now understands more than it was sent, so that
            the state of this node must be sent to it again.
        """
        peer = self._peer(frame.sender)
        if peer.incarnation != frame.incarnation:
            peer.incarnation = frame.incarnation
            # The node may have been replaced by one of another build.
            peer.proven = 1
        if peer.proven >= CURRENT:
            return False
        before = max(peer.proven, _ASSUMED)
        for message in frame.messages:
            peer.proven = max(peer.proven, message.proven_revision())
        if peer.proven <= before or not peer.lacks_state:
            return False
        peer.lacks_state = False
        return True

    def forget(self, node: ids.NodeId) -> None:
        """Drops what is known about a peer."""
        self._peers.pop(node, None)

    def frames(
        self,
        node: ids.NodeId,
        queued: tuple[messages.AnyMessage, ...],
    ) -> list[tuple[messages.AnyMessage, ...]]:
        """Returns the messages of each frame to send to a peer.

        A message that the peer's build may not know has a frame of its own: a
        build that rejects it loses no other message.

        Args:
            node: The peer.
            queued: Messages to send.
        """
        peer = self._peer(node)
        shared = []
        alone = []
        for message in queued:
            # A message that a build decodes may hold a code that ends it, so
            # codes are sent only where they are proved to be known.
            is_known = message.since <= peer.proven
            assumed = max(peer.proven, _ASSUMED)
            sent = message.for_revision(peer.proven if is_known else assumed)
            if sent is not message:
                self.replaced[type(message).__name__] += 1
            if sent is None:
                peer.lacks_state = True
            elif sent.since <= peer.proven:
                shared.append(sent)
            else:
                alone.append((sent,))
        return [tuple(shared), *alone] if shared else alone

    def _peer(self, node: ids.NodeId) -> _Peer:
        return self._peers.setdefault(node, _Peer())
