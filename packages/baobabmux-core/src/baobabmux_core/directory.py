"""Endpoints that exist, from a platform's directory service and from peers."""

from baobabmux_core import messages

# Endpoints write entries that expired during an outage of the directory again
# within about two seconds of its end. Missing entries are kept until then.
_RETURN_SECONDS = 2.2
# A list that no node could confirm for longer than this means an outage.
# Otherwise some node reads the directory more often and informs the others.
# Entries expire after about three seconds.
_OUTAGE_SECONDS = 2.5


class EndpointDirectory:
    """Entries of the directory with their version.

    The version is the position of the last change in the directory's source
    and never decreases. Reading the source again without a change only
    confirms the version.

    Attributes:
        entries: Entries by name.
        version: Version of the entries, -1 before the first.
        confirmed_at: Latest time at which the entries were known to be
            current, in seconds, or None.
    """

    def __init__(self):
        self.entries: dict[str, messages.DirectoryEntry] = {}
        self.version = -1
        self.confirmed_at: float | None = None
        self._confirmed_by_peer_at: float | None = None
        self._keep_missing_until = 0.0
        # Entries that are missing after an outage, with the time until which
        # they are kept.
        self._missing: dict[str, float] = {}

    def replace(
        self,
        entries: dict[str, messages.DirectoryEntry],
        version: int,
        now: float,
    ) -> bool:
        """Applies the whole list; returns whether an entry changed."""
        changes: dict[str, messages.DirectoryEntry | None] = dict(entries)
        for name in self.entries.keys() - entries.keys():
            changes[name] = None
        return self.update(changes, version, now)

    def update(
        self,
        changes: dict[str, messages.DirectoryEntry | None],
        version: int,
        now: float,
    ) -> bool:
        """Applies changes in order of their position; None removes an entry.

        Args:
            changes: Newest entry of each name that changed in the source.
            version: Position in the source up to which they were read.
            now: Current time in seconds.

        Returns:
            Whether an entry changed.
        """
        age = self.age(now)
        if age is not None and age > _OUTAGE_SECONDS:
            # No node could read the directory: if only this one could not, the
            # others would have confirmed the version.
            self._keep_missing_until = now + _RETURN_SECONDS
        self.confirmed_at = now
        changed = False
        for name, entry in changes.items():
            if entry is not None:
                self._missing.pop(name, None)
                if self.entries.get(name) != entry:
                    self.entries[name] = entry
                    changed = True
            elif name in self.entries:
                if now < self._keep_missing_until:
                    self._missing.setdefault(name, self._keep_missing_until)
                else:
                    del self.entries[name]
                    changed = True
        changed |= self.sweep(now)
        if changed:
            self.version = max(version, self.version + 1)
        return changed

    def sweep(self, now: float) -> bool:
        """Removes entries that stayed missing; returns whether any did."""
        gone = [name for name, until in self._missing.items() if now >= until]
        for name in gone:
            del self._missing[name]
            self.entries.pop(name, None)
        return bool(gone)

    def adopt(self, state: messages.EndpointsState, now: float) -> bool:
        """Replaces the entries by a peer's if those are newer.

        Returns:
            Whether the entries were replaced.
        """
        if state.version <= self.version:
            return False
        self.entries = {entry.name: entry for entry in state.entries}
        self.version = state.version
        self._missing.clear()
        self.confirm(state.version, state.age_ms, now)
        return True

    def confirm(self, version: int, age_ms: int, now: float) -> None:
        """Records that a peer confirmed a version as current."""
        if version != self.version or age_ms < 0:
            return
        confirmed = now - age_ms / 1000
        if self.confirmed_at is None or confirmed > self.confirmed_at:
            self.confirmed_at = confirmed
        by_peer = self._confirmed_by_peer_at
        if by_peer is None or confirmed > by_peer:
            self._confirmed_by_peer_at = confirmed

    def age(self, now: float) -> float | None:
        """Returns the seconds since the entries were known to be current."""
        return None if self.confirmed_at is None else now - self.confirmed_at

    def peers_silent(self, now: float) -> float | None:
        """Returns the seconds since a peer has known the entries as current.

        Reads of this node do not count. It is None if no peer ever has.
        """
        by_peer = self._confirmed_by_peer_at
        return None if by_peer is None else now - by_peer

    def state(self, now: float) -> messages.EndpointsState:
        """Returns the message that sends the entries to a peer."""
        return messages.EndpointsState(
            self.version, self.age_ms(now), tuple(self.entries.values())
        )

    def age_ms(self, now: float) -> int:
        """Returns the age in milliseconds for peers, or -1.

        It is -1 if nothing was read, and while missing entries are kept,
        because the entries then differ from the source.
        """
        age = self.age(now)
        if age is None or self._missing:
            return -1
        return round(age * 1000)
