"""TCP relay that simulates a network link with faults.

A `Relay` owns the connections that it forwards; its faults reset or stall
them.
"""

import collections
import enum
import time
from typing import Any

import curio
import curio.io

from baobabmux_standins import client, listener, server, standin

_READ_BYTES = 65536
_IDLE_SECONDS = 1.0


class RelayFaults(standin.Faults, frozen=True, forbid_unknown_fields=True):
    """Faults of a link.

    Attributes:
        cut: Connections are reset and new ones refused.
        stall: Connections stay open, but no bytes are forwarded.
        silent: As `stall`, and new connections are not established.
        mute: The connections that are open now forward nothing any more,
            without a reset; new ones work.
        mute_sent: As `mute`, but only what is sent to the target is lost: its
            answers to earlier requests still arrive.
        mute_idle: As `mute`, for the connections that have carried nothing for
            a second.
    """

    cut: bool = False
    stall: bool = False
    silent: bool = False
    mute: bool = False
    mute_sent: bool = False
    mute_idle: bool = False


class _Direction(enum.Enum):
    """Direction of the bytes of a connection, seen from its opener."""

    SENT = "sent"
    RECEIVED = "received"


class _Connection:
    """One connection through the link.

    Attributes:
        carried_at: Time of the latest bytes on the monotonic clock in seconds.
        muted: Directions in which it forwards nothing any more.
    """

    def __init__(self):
        self.carried_at = time.monotonic()
        self.muted: set[_Direction] = set()


class Relay(standin.StandIn):
    """Forwards bytes between its port and a target.

    Args:
        target: IP number and port of the target.
    """

    faults_type = RelayFaults

    def __init__(self, target: str):
        super().__init__()
        self._target = target
        self._forwarding = curio.Event()
        self._open: set[_Connection] = set()
        self._totals: collections.Counter[str] = collections.Counter()
        self._listener = listener.Listener(self._forward)

    async def start(self) -> None:
        """Starts to listen for connections and for commands."""
        await self._forwarding.set()
        await self.control.start()
        await self._listener.admit()

    async def close(self) -> None:
        """Resets all connections and releases both ports."""
        await self._listener.close()
        await self.control.close()

    def addresses(self) -> dict[str, str]:
        """Returns the addresses of the link and of the command port."""
        return {
            "address": self._listener.address,
            "control": self.control.address,
        }

    def counts(self) -> dict[str, Any]:
        """Returns the numbers of connections and bytes forwarded."""
        return {"totals": dict(self._totals)}

    async def handle(
        self, request: server.Request, reply: server.Reply
    ) -> None:
        """Does nothing: a relay has no HTTP protocol of its own."""

    async def set_faults(self, values: dict[str, Any]) -> None:
        """Replaces the faults: cuts, stalls or restores the link."""
        self.faults = standin.convert_faults(values, self.faults_type)
        self._mute()
        if self.faults.stall or self.faults.silent:
            self._forwarding.clear()
        else:
            await self._forwarding.set()
        if self.faults.cut or self.faults.refuse:
            await self._listener.refuse()
            if self.faults.cut:
                await self._listener.drop()
        elif self.faults.silent:
            await self._listener.silence()
        else:
            await self._listener.admit()

    def _mute(self) -> None:
        """Has open connections forward nothing any more, as the faults say."""
        now = time.monotonic()
        for connection in self._open:
            is_idle = now - connection.carried_at > _IDLE_SECONDS
            if self.faults.mute or (self.faults.mute_idle and is_idle):
                connection.muted.update(_Direction)
            if self.faults.mute_sent:
                connection.muted.add(_Direction.SENT)

    async def _forward(self, inbound: curio.io.Socket) -> None:
        await self._forwarding.wait()
        self._totals["connections"] += 1
        connection = _Connection()
        self._open.add(connection)
        try:
            async with await client.connect(self._target) as outbound:
                async with curio.TaskGroup(wait=any) as group:
                    for direction, source, sink in (
                        (_Direction.SENT, inbound, outbound),
                        (_Direction.RECEIVED, outbound, inbound),
                    ):
                        await group.spawn(
                            self._pump, connection, direction, source, sink
                        )
        finally:
            self._open.discard(connection)

    async def _pump(
        self,
        connection: _Connection,
        direction: _Direction,
        source: curio.io.Socket,
        sink: curio.io.Socket,
    ) -> None:
        try:
            while data := await source.recv(_READ_BYTES):
                await self._forwarding.wait()
                if direction in connection.muted:
                    await standin.wait_forever()
                connection.carried_at = time.monotonic()
                self._totals["bytes"] += len(data)
                await sink.sendall(data)
        except OSError:
            return  # One connection has failed; `_forward` closes the other.
