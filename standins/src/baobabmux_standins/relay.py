"""TCP relay that simulates a network link with faults.

A `Relay` owns the connections that it forwards; its faults reset or stall
them.
"""

import collections
from typing import Any

import curio
import curio.io

from baobabmux_standins import client, listener, server, standin

_READ_BYTES = 65536


class RelayFaults(standin.Faults, frozen=True, forbid_unknown_fields=True):
    """Faults of a link.

    Attributes:
        cut: Connections are reset and new ones refused.
        stall: Connections stay open, but no bytes are forwarded.
        silent: As `stall`, and new connections are not established.
        mute: The connections that are open now forward nothing any more,
            without a reset; new ones work.
    """

    cut: bool = False
    stall: bool = False
    silent: bool = False
    mute: bool = False


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
        # Connections of a former epoch are mute.
        self._epoch = 0
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
        if self.faults.mute:
            self._epoch += 1
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

    async def _forward(self, inbound: curio.io.Socket) -> None:
        await self._forwarding.wait()
        self._totals["connections"] += 1
        async with await client.connect(self._target) as outbound:
            async with curio.TaskGroup(wait=any) as group:
                await group.spawn(self._pump, inbound, outbound)
                await group.spawn(self._pump, outbound, inbound)

    async def _pump(
        self, source: curio.io.Socket, sink: curio.io.Socket
    ) -> None:
        epoch = self._epoch
        try:
            while data := await source.recv(_READ_BYTES):
                await self._forwarding.wait()
                if epoch != self._epoch:
                    await standin.wait_forever()
                self._totals["bytes"] += len(data)
                await sink.sendall(data)
        except OSError:
            return  # One connection has failed; `_forward` closes the other.
