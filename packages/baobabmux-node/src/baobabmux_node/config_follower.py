"""Keeps the configuration up to date from the log service and from peers."""

import random
from collections.abc import Awaitable, Callable

import curio
import msgspec
import xxhash

from baobabmux_core import (
    configuration,
    declarations,
    messages,
    retries,
    streams,
)
from baobabmux_node import clock, log_service, ports, wall_clock

STREAM = "config"
_LONG_POLL_SECONDS = 8.0


class ConfigFollower(ports.ConfigSource):
    """Follows the configuration stream of the log service.

    Attributes:
        state: State folded from the records of the stream.
        log_reached_at: Time of the last answer of the log service on the
            node's clock in seconds, or None.
    """

    def __init__(
        self,
        log: log_service.LogService,
        retention_seconds: float,
        on_change: Callable[[], Awaitable[None]],
        seed: int,
    ):
        self.state = configuration.ConfigurationLog()
        self.log_reached_at: float | None = None
        self._log = log
        self._retention_seconds = retention_seconds
        self._on_change = on_change
        self._random = random.Random(seed)

    @property
    def version(self) -> int:
        """Offset of the last accepted publication, -1 before the first."""
        return self.state.version

    @property
    def through(self) -> int:
        """Offset of the last record that was read, -1 before the first."""
        return self.state.through

    @property
    def configuration(self) -> declarations.Configuration | None:
        """Configuration in force, or None before the first."""
        return self.state.configuration

    def digest(self) -> str:
        """Returns a digest of the configuration's tables."""
        return xxhash.xxh3_64_hexdigest(
            msgspec.json.encode(self.state.tables, order="sorted")
        )

    async def follow(self) -> None:
        """Reads the stream until cancelled."""
        failures = 0
        while True:
            try:
                page = await self._log.read(
                    STREAM, self.state.next_offset, wait=_LONG_POLL_SECONDS
                )
            except log_service.LogError:
                failures += 1
                delay = retries.backoff(failures, self._random, 0.5, 3.0)
                await curio.sleep(delay)
                continue
            failures = 0
            self.log_reached_at = clock.now()
            await self._fold(page)

    async def adopt(self, message: messages.ConfigState) -> bool:
        """Adopts a peer's configuration if it is newer.

        Returns:
            Whether it was adopted.
        """
        if message.through <= self.state.through:
            return False
        try:
            snapshot = msgspec.json.decode(message.snapshot)
        except msgspec.DecodeError:
            return False
        old_version = self.state.version
        adopted = self.state.adopt(snapshot)
        if self.state.version != old_version:
            await self._on_change()
        return adopted

    def answer(self, ask: messages.ConfigAsk) -> messages.ConfigState | None:
        """Returns this node's configuration if it is newer than a peer's."""
        if self.state.version < 0 or self.state.through <= ask.through:
            return None
        return messages.ConfigState(
            self.state.through, msgspec.json.encode(self.state.snapshot())
        )

    async def append_snapshot(self) -> bool:
        """Appends a snapshot if the newest one would expire soon.

        Returns:
            Whether a snapshot was appended.
        """
        now_ms = wall_clock.unix_ms()
        if not self.state.snapshot_due(now_ms, self._retention_seconds):
            return False
        try:
            offset = await self._log.append(STREAM, self.state.snapshot())
        except log_service.LogError:
            return False
        return offset is not None

    async def _fold(self, page: streams.Page) -> None:
        old_version = self.state.version
        for record in page.records:
            self.state.apply(record.offset, record.data, record.time_ms)
        if self.state.version != old_version:
            await self._on_change()
