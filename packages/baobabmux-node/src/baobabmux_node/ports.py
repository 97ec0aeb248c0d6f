"""Interfaces that a platform implements for the node that runs on it.

"Ports" is meant as in ports and adapters; these are not network ports.
"""

from __future__ import annotations

import abc
import typing
from collections.abc import Awaitable, Callable

from baobabmux_core import declarations, ids, messages

if typing.TYPE_CHECKING:
    from baobabmux_node import protocols

Job = Callable[[], Awaitable[None]]
"""A task that runs until it is cancelled."""


class ConfigSource(abc.ABC):
    """Source of the versions of the declarations.

    Versions only increase: a source never returns to an older one.
    """

    @property
    @abc.abstractmethod
    def version(self) -> int:
        """Version of the declarations in force, -1 before the first."""

    @property
    @abc.abstractmethod
    def through(self) -> int:
        """Position up to which the source was read, -1 before the first."""

    @property
    @abc.abstractmethod
    def configuration(self) -> declarations.Configuration | None:
        """The declarations in force, or None before the first."""

    @abc.abstractmethod
    def digest(self) -> str:
        """Returns a digest of the declarations in force."""

    @abc.abstractmethod
    async def follow(self) -> None:
        """Follows the source until cancelled."""

    @abc.abstractmethod
    async def adopt(self, message: messages.ConfigState) -> bool:
        """Adopts a peer's declarations; returns whether they were newer."""

    @abc.abstractmethod
    def answer(self, ask: messages.ConfigAsk) -> messages.ConfigState | None:
        """Returns this node's declarations if they are newer than a peer's."""

    def age_ms(self, now: float) -> int:
        """Returns when the version was last known to be the newest.

        Args:
            now: Current time in seconds.

        Returns:
            The time since then in milliseconds, or -1 if that is unknown.
        """
        del now
        return -1

    def confirm(  # noqa: B027 - a hook
        self, version: int, age_ms: int, now: float
    ) -> None:
        """Records a version that a peer has, and how old its knowledge is."""


class Ports(abc.ABC):
    """A node's interface to its platform.

    Attributes:
        protocol: Protocol of callers and endpoints.
        config: Source of the declarations.
    """

    protocol: protocols.CallerProtocol
    config: ConfigSource

    @abc.abstractmethod
    def jobs(self) -> list[Job]:
        """Returns the tasks to run until the node ends."""

    def effective(
        self, declared: declarations.Configuration
    ) -> declarations.Configuration:
        """Returns the declarations with the endpoints that exist now."""
        return declared

    @abc.abstractmethod
    def configuration_changed(
        self, configuration: declarations.Configuration
    ) -> None:
        """Applies a configuration that has come into force."""

    async def receive(
        self, sender: ids.NodeId, message: messages.AnyMessage
    ) -> bool:
        """Handles a peer's message; returns whether it was for the platform."""
        del sender, message
        return False

    async def timers_ran(self) -> None:
        """Called after the node's timers; wakes jobs for which they found work.

        Jobs that wait for it need no timers of their own.
        """
        return

    def link_state(
        self, newest_sequence: int, newest_incarnation: int
    ) -> messages.LinkState | None:
        """Returns the link and directory state that heartbeats carry.

        Args:
            newest_sequence: Number of the newest frame from the peer, -1
                without one.
            newest_incarnation: Incarnation of the peer that sent the frame,
                or -1.
        """
        del newest_sequence, newest_incarnation
        return None

    @abc.abstractmethod
    async def finish_writes(self) -> None:
        """Finishes pending writes before the node ends."""

    def endpoints_version(self) -> int:
        """Returns the version of the endpoint directory, -1 without one."""
        return -1

    def endpoints_age_ms(self, now: float) -> int:
        """Returns the directory's age in milliseconds, -1 without one."""
        del now
        return -1

    def store_calls(self) -> dict[str, int]:
        """Returns the number of calls to the platform's store, by kind."""
        return {}

    def stored_streams(self) -> dict[str, int]:
        """Returns the records of streams in the store so far, by kind.

        The kinds are `written` and `read` streams, `unreadable` records and
        requests that `awaited` a read.
        """
        return {}

    def connections(self) -> tuple[int, int]:
        """Returns how many endpoint connections were opened and reused."""
        return 0, 0

    def reload(self) -> str:
        """Reloads the settings; returns the result as a text for the log."""
        return "settings take effect after a restart"

    def reachable(self) -> bool:
        """Returns whether the last call to the platform's store succeeded."""
        return True

    def appends(self) -> int:
        """Returns the number of writes to the platform's store."""
        return 0
