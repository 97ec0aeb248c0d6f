"""What a node takes from the platform that it runs on."""

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
    """Versions of the declarations, from wherever they are kept.

    Versions only grow: a source never goes back to an older one.
    """

    @property
    @abc.abstractmethod
    def version(self) -> int:
        """Version in force, -1 before the first."""

    @property
    @abc.abstractmethod
    def through(self) -> int:
        """Position up to which the source was read, -1 at first."""

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
        """Takes over a peer's declarations; returns whether they were newer."""

    @abc.abstractmethod
    def answer(self, ask: messages.ConfigAsk) -> messages.ConfigState | None:
        """Returns the own declarations if they are newer than a peer's."""


class Ports(abc.ABC):
    """The platform as a node sees it.

    Attributes:
        protocol: How callers and endpoints are spoken to.
        config: Where the declarations come from.
    """

    protocol: protocols.CallerProtocol
    config: ConfigSource

    @abc.abstractmethod
    def jobs(self) -> list[Job]:
        """Returns the tasks that follow the platform."""

    def effective(
        self, declared: declarations.Configuration
    ) -> declarations.Configuration:
        """Returns the declarations with the endpoints that exist now."""
        return declared

    @abc.abstractmethod
    def configured(self, configuration: declarations.Configuration) -> None:
        """Takes notice of a configuration that has come into force."""

    async def receive(
        self, sender: ids.NodeId, message: messages.AnyMessage
    ) -> bool:
        """Handles a message about the platform; returns whether it was one."""
        del sender, message
        return False

    def link_state(
        self, heard: int, incarnation: int
    ) -> messages.LinkState | None:
        """Returns what heartbeats tell about the link and the directory."""
        del heard, incarnation
        return None

    @abc.abstractmethod
    async def settle(self) -> None:
        """Ends what is under way before the node ends."""

    def endpoints_version(self) -> int:
        """Returns the version of the endpoint directory, -1 without one."""
        return -1

    def endpoints_age_ms(self, now: float) -> int:
        """Returns its age in milliseconds, -1 without one."""
        del now
        return -1

    def store_calls(self) -> dict[str, int]:
        """Returns the calls to the platform's store so far, by kind."""
        return {}

    def connections(self) -> tuple[int, int]:
        """Returns connections to endpoints so far: opened and used again."""
        return 0, 0

    def reload(self) -> str:
        """Reads the settings again; returns what came of it."""
        return "settings take effect with a restart"

    def reachable(self) -> bool:
        """Tells whether the platform's store answered last."""
        return True

    def appends(self) -> int:
        """Returns the number of writes to the platform's store so far."""
        return 0
