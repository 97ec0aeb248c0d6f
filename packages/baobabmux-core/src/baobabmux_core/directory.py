"""Endpoints that exist, from a platform's directory service and from peers."""

import msgspec

from baobabmux_core import messages, positions

# Endpoints write entries that expired during an outage of the directory again
# within about two seconds of its end. Missing entries are kept until then.
_RETURN_SECONDS = 2.2
# A list that no node could confirm for longer than this means an outage.
# Otherwise some node reads the directory more often and informs the others.
# Entries expire after about three seconds.
_OUTAGE_SECONDS = 2.5


# A store may come back from a copy that is some seconds old, and what the copy
# lacks is written again within some seconds.
_COPY_SECONDS = 15.0
_REWRITE_SECONDS = 10.0
# Time for which a removal holds against lists of peers that were cut off.
_REMOVAL_SECONDS = 60.0


class _Ending(msgspec.Struct, frozen=True):
    """What a node knows of an endpoint that an older copy may not.

    Attributes:
        born_ms: Start time of the endpoint in Unix milliseconds.
        is_gone: Whether its entry was removed; otherwise it was draining.
    """

    born_ms: int
    is_gone: bool


class EndpointDirectory:
    """Entries of the directory with their version.

    The version never decreases, and what was read up to an older position than
    that of the version does not apply. Reading the source again without a
    change only confirms the version.

    Attributes:
        entries: Entries by name.
        version: Number of the `positions.Version` of the entries, -1 before
            the first.
        confirmed_at: Latest time at which the entries were known to be
            current, in seconds, or None.
    """

    def __init__(self):
        self.entries: dict[str, messages.DirectoryEntry] = {}
        self.version = -1
        self.confirmed_at: float | None = None
        # Position up to which the entries are known, changed or not.
        self._known_to: positions.Position | None = None
        self._known_to_at = 0.0
        self._confirmed_by_peer_at: float | None = None
        self._keep_missing_until = 0.0
        # Entries that are missing after an outage, with the time until which
        # they are kept.
        self._missing: dict[str, float] = {}
        # Entries that were removed, with their start times and the times of
        # their removal.
        self._removed: dict[str, tuple[int, float]] = {}
        # What holds against the lists of a new era until it is written again.
        self._endings: dict[str, _Ending] = {}
        self._endings_until = 0.0

    def is_outdated(
        self, position: positions.Position, asked_at: float
    ) -> bool:
        """Returns whether the entries are newer than a read.

        A read that was asked for after this node had learned of the entries is
        not: the source itself has gone back.

        Args:
            position: Position up to which was read.
            asked_at: Time at which the read was asked for, in seconds.
        """
        return (
            self._known_to is not None
            and position < self._known_to
            and asked_at <= self._known_to_at
        )

    def replace(
        self,
        entries: dict[str, messages.DirectoryEntry],
        position: positions.Position,
        now: float,
        asked_at: float | None = None,
    ) -> bool:
        """Applies the whole list; see `update`.

        Returns:
            Whether an entry changed, or the list is the first of a new era.
        """
        asked_at = now if asked_at is None else asked_at
        if self.is_outdated(position, asked_at):
            return False
        is_new_era = self._is_new_era(position.era)
        if is_new_era:
            self._enter_era(now)
            # Entries that the copy lacks are written again, like those that
            # expired in an outage.
            self._keep_missing_until = now + _RETURN_SECONDS
        listed = self._without_ended(entries, now)
        changes: dict[str, messages.DirectoryEntry | None] = dict(listed)
        for name in self.entries.keys() - listed.keys():
            changes[name] = None
        self._learn(position, asked_at)
        changed = self._apply(changes, now, asked_at)
        if changed or is_new_era:
            # The list of a new era is another one also if its entries are not.
            revision = int(listed != entries)
            self._advance(positions.Version(position, revision))
            changed = True
        return changed

    def update(
        self,
        changes: dict[str, messages.DirectoryEntry | None],
        position: positions.Position,
        now: float,
        asked_at: float | None = None,
    ) -> bool:
        """Applies changes in order of their position; None removes an entry.

        Args:
            changes: Newest entry of each name that changed in the source.
            position: Position in the source up to which they were read.
            now: Current time in seconds.
            asked_at: Time at which the read was asked for, by default now.

        Returns:
            Whether an entry changed.
        """
        asked_at = now if asked_at is None else asked_at
        if self.is_outdated(position, asked_at):
            return False
        for name in changes:
            self._endings.pop(name, None)
        self._learn(position, asked_at)
        changed = self._apply(changes, now, asked_at)
        if changed:
            self._advance(positions.Version(position))
        return changed

    def _apply(
        self,
        changes: dict[str, messages.DirectoryEntry | None],
        now: float,
        asked_at: float,
    ) -> bool:
        """Applies changes; returns whether an entry changed."""
        age = self.age(now)
        if age is not None and age > _OUTAGE_SECONDS:
            # No node could read the directory: if only this one could not, the
            # others would have confirmed the version.
            self._keep_missing_until = now + _RETURN_SECONDS
        if self.confirmed_at is None or asked_at > self.confirmed_at:
            self.confirmed_at = asked_at
        changed = False
        for name, entry in changes.items():
            if entry is not None:
                self._missing.pop(name, None)
                self._removed.pop(name, None)
                if self.entries.get(name) != entry:
                    self.entries[name] = entry
                    changed = True
            elif name in self.entries:
                if now < self._keep_missing_until:
                    self._missing.setdefault(name, self._keep_missing_until)
                else:
                    self._remove(name, now)
                    changed = True
        return self.sweep(now) or changed

    def _learn(self, position: positions.Position, at: float) -> None:
        self._known_to = position
        self._known_to_at = at

    def _advance(self, version: positions.Version) -> None:
        """Sets the version, or a revision of the present one if that is newer.

        Entries may change without a record of the source.
        """
        if version.number <= self.version:
            version = positions.Version.of(self.version).revised()
        self.version = version.number

    def _remove(self, name: str, now: float) -> None:
        entry = self.entries.pop(name, None)
        if entry is None:
            return
        self._removed = {
            other: (born_ms, at)
            for other, (born_ms, at) in self._removed.items()
            if now - at <= _REMOVAL_SECONDS
        }
        self._removed[name] = (entry.born_ms, now)

    def _is_new_era(self, era: int) -> bool:
        if self.version < 0:
            return False
        known = positions.Version.of(self.version).position.era
        return positions.UNKNOWN_ERA < known < era

    def _enter_era(self, now: float) -> None:
        """Notes what an older copy of the source may not know.

        An endpoint that leaves does not come back, whatever a copy says.
        """
        self._removed = {
            name: (born_ms, at)
            for name, (born_ms, at) in self._removed.items()
            if now - at <= _COPY_SECONDS
        }
        self._endings = {
            name: _Ending(born_ms, is_gone=True)
            for name, (born_ms, _) in self._removed.items()
        }
        for name, entry in self.entries.items():
            if entry.draining:
                self._endings[name] = _Ending(entry.born_ms, is_gone=False)
        self._endings_until = now + _REWRITE_SECONDS

    def _without_ended(
        self, entries: dict[str, messages.DirectoryEntry], now: float
    ) -> dict[str, messages.DirectoryEntry]:
        """Returns a list in which no endpoint is back that has been leaving."""
        if now >= self._endings_until:
            self._endings.clear()
        listed = dict(entries)
        for name, ending in self._endings.items():
            entry = entries.get(name)
            if entry is None or entry.born_ms != ending.born_ms:
                continue
            if ending.is_gone:
                del listed[name]
            elif not entry.draining:
                listed[name] = msgspec.structs.replace(entry, draining=True)
        return listed

    def sweep(self, now: float) -> bool:
        """Removes entries that stayed missing; returns whether any did."""
        gone = [name for name, until in self._missing.items() if now >= until]
        for name in gone:
            del self._missing[name]
            self._remove(name, now)
        return bool(gone)

    def adopt(self, state: messages.EndpointsState, now: float) -> bool:
        """Replaces the entries by a peer's if those are newer.

        Returns:
            Whether the entries were replaced.
        """
        if state.version <= self.version:
            return False
        version = positions.Version.of(state.version)
        if self._is_new_era(version.position.era):
            self._enter_era(now)
        sent = {entry.name: entry for entry in state.entries}
        if self._has_read_on_from(version):
            # Later changes have undone what the peer has seen.
            if sent != self.entries:
                version = positions.Version(self._known_to)
            self.version = version.number
            return False
        listed = self._without_ended(sent, now)
        if state.age_ms < 0:
            listed = self._without_removed(listed)
        for name in self.entries.keys() - listed.keys():
            self._remove(name, now)
        for name in listed:
            self._removed.pop(name, None)
        self.entries = listed
        self.version = state.version
        if self._known_to is None or version.position > self._known_to:
            self._learn(version.position, now)
        if listed != sent:
            self._advance(version)
        self._missing.clear()
        self.confirm(self.version, state.age_ms, now)
        return True

    def _without_removed(
        self, entries: dict[str, messages.DirectoryEntry]
    ) -> dict[str, messages.DirectoryEntry]:
        """Returns the list of a peer without the entries that it only keeps.

        A list without an age is not what its peer has read: after an outage it
        keeps missing entries for a while. An entry that is gone here, and was
        not written again, is one of them. A sound endpoint writes its entry
        again within a heartbeat.
        """
        return {
            name: entry
            for name, entry in entries.items()
            if name not in self._removed
            or self._removed[name][0] != entry.born_ms
        }

    def _has_read_on_from(self, version: positions.Version) -> bool:
        """Returns whether this node knows the source beyond a peer's list.

        Revisions may be of a build that numbers its lists without positions.
        """
        return (
            version.revision == 0
            and version.position.era > positions.UNKNOWN_ERA
            and self._known_to is not None
            and version.position < self._known_to
        )

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
