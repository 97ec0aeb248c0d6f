"""Which endpoints exist, as a platform's directory and peers tell."""

from baobabmux_core import messages

# Entries that lapsed during an outage of the directory are written again
# within about two seconds of its end, so they count until then.
_RETURN_SECONDS = 2.2
# Without an outage some node reads the directory more often than this and
# tells the others; entries lapse after about three seconds.
_OUTAGE_SECONDS = 2.5


class EndpointDirectory:
    """Entries of the directory with their version.

    The version is the position of the last change in the directory's source
    and never goes back. Reading the source again without a change only
    confirms it.

    Attributes:
        entries: Entries by name.
        version: Version of the entries, -1 before the first.
        confirmed_at: Time at which they were known to be the newest, in
            seconds, or None.
    """

    def __init__(self):
        self.entries: dict[str, messages.DirectoryEntry] = {}
        self.version = -1
        self.confirmed_at: float | None = None
        self._returns_until = 0.0
        # Entries that are missing after an outage, with the time until which
        # they still count.
        self._missing: dict[str, float] = {}

    def replace(
        self,
        entries: dict[str, messages.DirectoryEntry],
        version: int,
        now: float,
    ) -> bool:
        """Takes the whole list; returns whether an entry changed."""
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
        """Takes changes in order of their position; None removes an entry.

        Args:
            changes: Newest entry of each name that was written.
            version: Position in the source up to which they were read.
            now: Current time in seconds.

        Returns:
            Whether an entry changed.
        """
        age = self.age(now)
        if age is not None and age > _OUTAGE_SECONDS:
            # No node could read it; one that alone was cut off has heard from
            # the others.
            self._returns_until = now + _RETURN_SECONDS
        self.confirmed_at = now
        changed = False
        for name, entry in changes.items():
            if entry is not None:
                self._missing.pop(name, None)
                if self.entries.get(name) != entry:
                    self.entries[name] = entry
                    changed = True
            elif name in self.entries:
                if now < self._returns_until:
                    self._missing.setdefault(name, self._returns_until)
                else:
                    del self.entries[name]
                    changed = True
        changed |= self.sweep(now)
        if changed:
            self.version = max(version, self.version + 1)
        return changed

    def sweep(self, now: float) -> bool:
        """Drops entries that stayed missing; returns whether there were any."""
        gone = [name for name, until in self._missing.items() if now >= until]
        for name in gone:
            del self._missing[name]
            self.entries.pop(name, None)
        return bool(gone)

    def adopt(self, state: messages.EndpointsState, now: float) -> bool:
        """Takes over a peer's entries if they are newer.

        Returns:
            Whether they were.
        """
        if state.version <= self.version:
            return False
        self.entries = {entry.name: entry for entry in state.entries}
        self.version = state.version
        self._missing.clear()
        self.confirm(state.version, state.age_ms, now)
        return True

    def confirm(self, version: int, age_ms: int, now: float) -> None:
        """Notes that a peer knew a version to be the newest."""
        if version != self.version or age_ms < 0:
            return
        confirmed = now - age_ms / 1000
        if self.confirmed_at is None or confirmed > self.confirmed_at:
            self.confirmed_at = confirmed

    def age(self, now: float) -> float | None:
        """Returns the seconds since the entries were known to be current."""
        return None if self.confirmed_at is None else now - self.confirmed_at

    def state(self, now: float) -> messages.EndpointsState:
        """Returns the entries for a peer."""
        return messages.EndpointsState(
            self.version, self.age_ms(now), tuple(self.entries.values())
        )

    def age_ms(self, now: float) -> int:
        """Returns the age in milliseconds for peers, or -1.

        It is -1 if nothing was read, and while missing entries still count:
        the entries then are not what the source holds.
        """
        age = self.age(now)
        if age is None or self._missing:
            return -1
        return round(age * 1000)
